//! The HTTP front end: encodes and decodes, and leaves every decision to the slices.

mod admin;
mod auth;
mod caller;
mod endpoint;
mod operator;
mod request;
mod response;
mod server;

pub use self::{
    caller::routes as caller_routes, operator::routes as operator_routes, server::serve,
};
