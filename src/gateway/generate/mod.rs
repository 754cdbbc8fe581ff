//! Generations: one task drives each request through the engines and feeds everyone who reads its
//! answer. See docs/DESIGN.md, "Accepted requests".

mod answer;
mod attempt;
mod outcome;
mod subscribers;
mod task;
mod token_timing;

pub(crate) use answer::{AnswerEvent, AnswerReceiver, CompletedAnswer, Subscription};
pub(crate) use task::{AdmissionGuard, AdmittedRequest, GenerationTask, subscription_channel};
