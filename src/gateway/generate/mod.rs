//! Generation requests: one task per request runs it on the engines and fans its answer out to all
//! subscribers. See docs/DESIGN.md, "Accepted requests".

mod answer;
mod attempt;
mod outcome;
mod subscribers;
mod task;
mod token_timing;

pub(crate) use answer::{AnswerEvent, AnswerReceiver, CompletedAnswer, Subscription};
pub(crate) use task::{AdmissionGuard, AdmittedRequest, GenerationTask, subscription_channel};
