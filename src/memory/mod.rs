//! The account of all bytes that a router holds for callers and servers, and who has to go when
//! it is short.

mod account;
mod decision;
mod holding;
mod reservation;
mod trim;

pub use self::{
    account::Account,
    decision::{choose, Holder, Phase},
    holding::Holding,
    reservation::Reservation,
    trim::{map_large_buffers, return_free_memory},
};
