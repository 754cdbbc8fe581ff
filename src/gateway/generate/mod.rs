//! Generations: one task drives each request through the engines and feeds everyone who reads its
//! answer. See docs/DESIGN.md, "Accepted requests".

mod audience;
mod finish;
mod pace;
mod piece;
mod pump;
mod relay;

pub(crate) use piece::{Answer, Attach, Piece, Reader};
pub(crate) use pump::{Accepted, Place, Pump, attach_channel};
