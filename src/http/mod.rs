//! The HTTP front end: decodes requests and encodes answers; all decisions are made by the
//! other modules.

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
