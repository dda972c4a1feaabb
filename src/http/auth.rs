//! Authentication of operators.

use http::{header, HeaderMap};
use subtle::ConstantTimeEq;

use crate::{config::Operator, Category, Error, Result, Router};

/// Returns the operator whose bearer token the request carries.
///
/// # Errors
///
/// Returns [`Category::Unauthorized`] when the token is missing or belongs to no operator.
pub(super) fn authorize<'a>(cx: &'a Router, headers: &HeaderMap) -> Result<&'a Operator> {
    let value = headers.get(header::AUTHORIZATION);
    let token = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let token = token.unwrap_or_default();
    let has_token = |operator: &&Operator| bool::from(operator.token.expose().ct_eq(token));
    let unauthorized = || {
        Error::not_run(
            Category::Unauthorized,
            "the operator token is missing or wrong",
        )
    };
    cx.settings
        .operators
        .iter()
        .find(has_token)
        .ok_or_else(unauthorized)
}
