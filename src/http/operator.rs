//! The HTTP interface for operators.

use std::sync::Arc;

use gotham::{
    helpers::http::Body,
    prelude::*,
    router::{builder::build_simple_router, Router as Routes},
};
use http::{Response, StatusCode};

use super::{
    admin,
    auth::authorize,
    endpoint::{Endpoint, HttpRequest},
    request,
    response::{json, text},
};
use crate::{inspect, placement::Hint, Result, Router};

/// Returns the HTTP routes of the interface for operators.
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
        route
            .get("/v1/explain")
            .to_new_handler(Endpoint::new(&cx, explain));
        admin::register_admin_routes(route, &cx);
    })
}

async fn healthz(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    Ok(text(StatusCode::OK, "ok\n".into()))
}

async fn readyz(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    cx.check_serving()?;
    Ok(text(StatusCode::OK, "ready\n".into()))
}

async fn metrics(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    Ok(text(StatusCode::OK, cx.metrics.encode(&cx)))
}

async fn state_dump(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    Ok(json(StatusCode::OK, &inspect::Dump::new(&cx)))
}

async fn explain(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    let query = request::query(&req.uri);
    let (team, service) = (
        request::param(&query, "team")?,
        request::param(&query, "service")?,
    );
    let chat = request::param(&query, "chat")?;
    let hint = match query.contains_key("hint") {
        true => request::param(&query, "hint")?,
        false => Hint::default(),
    };
    let explanation = inspect::explain(&cx, &team, &service, &chat, &hint)?;
    Ok(json(StatusCode::OK, &explanation))
}
