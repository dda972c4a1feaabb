//! Answers a caller that asks which routers to use.

mod answer;
mod ticket;

pub use self::{
    answer::{Address, Answer, VALIDITY},
    ticket::Ticket,
};
