//! The interface for operators.

use std::sync::Arc;

use gotham::{
    helpers::http::Body,
    prelude::*,
    router::{builder::build_simple_router, Router as Routes},
};
use http::{header, HeaderMap, Response, StatusCode};
use subtle::ConstantTimeEq;

use super::{
    endpoint::{Endpoint, Incoming},
    refusal::{json, text},
};
use crate::{config::Operator, inspect, Category, Error, Result, Router};

/// Returns the routes for operators.
pub fn routes(cx: Arc<Router>) -> Routes {
    build_simple_router(|route| {
        route
            .get("/healthz")
            .to_new_handler(Endpoint::new(&cx, healthz));
        route
            .get("/readyz")
            .to_new_handler(Endpoint::new(&cx, readyz));
        route
            .get("/metrics")
            .to_new_handler(Endpoint::new(&cx, metrics));
        route
            .get("/state")
            .to_new_handler(Endpoint::new(&cx, state_dump));
    })
}

/// Returns the operator whose token the request carries.
fn authorize<'a>(cx: &'a Router, headers: &HeaderMap) -> Result<&'a Operator> {
    let value = headers.get(header::AUTHORIZATION);
    let token = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let token = token.unwrap_or_default();
    let holds = |operator: &&Operator| bool::from(operator.token.expose().ct_eq(token));
    let wrong = || {
        Error::not_run(
            Category::Unauthorized,
            "the operator token is missing or wrong",
        )
    };
    cx.settings.operators.iter().find(holds).ok_or_else(wrong)
}

async fn healthz(cx: Arc<Router>, req: Incoming) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    Ok(text(StatusCode::OK, "ok\n".into()))
}

async fn readyz(cx: Arc<Router>, req: Incoming) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    cx.check_serving()?;
    Ok(text(StatusCode::OK, "ready\n".into()))
}

async fn metrics(cx: Arc<Router>, req: Incoming) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    Ok(text(StatusCode::OK, cx.metrics.encode()))
}

async fn state_dump(cx: Arc<Router>, req: Incoming) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    Ok(json(StatusCode::OK, &inspect::Dump::new(&cx)))
}
