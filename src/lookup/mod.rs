//! Chooses the routers that a caller may use, and issues tickets for calls that must not be repeated.

mod answer;
mod ticket;

pub use self::{
    answer::{LookupAnswer, RouterAddress, ANSWER_TTL},
    ticket::Ticket,
};
