//! Answers a caller that asks which routers to use.

mod answer;
mod ticket;

pub use self::{
    answer::{LookupAnswer, RouterAddress, ANSWER_TTL},
    ticket::Ticket,
};
