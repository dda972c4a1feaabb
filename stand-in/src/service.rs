//! A simulated plain service that answers reads of slots and counts the runs of each booking.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde_json::json;

use crate::web::{self, Req};

#[derive(clap::Args)]
pub struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name in the instance list.
    #[arg(long)]
    name: String,
    /// Pool that the server belongs to.
    #[arg(long)]
    pool: String,
    /// Failure domain.
    #[arg(long)]
    domain: String,
    /// Address of the platform.
    #[arg(long)]
    platform: String,
}

struct Service {
    /// Runs of each booking by its idempotency key.
    runs: Mutex<BTreeMap<String, u32>>,
}

pub async fn run(args: Args) {
    let service = Arc::new(Service {
        runs: Mutex::default(),
    });
    let listen = args.listen;
    tokio::spawn(register(args));
    web::serve(listen, service, handle).await;
}

/// Registers this server in the instance list, again and again so that it does not expire.
async fn register(args: Args) {
    let http = web::client();
    let url = format!("{}/v1/instances/{}?expires=1", args.platform, args.name);
    let instance = json!({
        "kind": "server", "pool": args.pool, "address": args.listen,
        "failure_domain": args.domain, "state": "live",
    });
    loop {
        drop(web::call(&http, "PUT", &url, &[], instance.to_string()).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

async fn handle(service: Arc<Service>, req: Req) -> Response<Body> {
    let delay = Duration::from_millis(req.number("delay_ms", 0));
    match (req.method.as_str(), req.path().as_slice()) {
        ("GET", ["slots", slot]) => {
            web::json(StatusCode::OK, &json!({ "slot": slot, "free": true }))
        }
        ("POST", ["bookings"]) => {
            let key = req.header("idempotency-key");
            let run = {
                let mut runs = service.runs.lock().unwrap();
                let run = runs.entry(key.clone()).or_default();
                *run += 1;
                *run
            };
            tokio::time::sleep(delay).await;
            if req.number("refuse", 0) == 1 {
                return web::json(StatusCode::SERVICE_UNAVAILABLE, &"refused after the run");
            }
            if req.number("silent", 0) == 1 {
                std::future::pending::<()>().await;
            }
            web::json(StatusCode::OK, &json!({ "booked": key, "run": run }))
        }
        ("GET", ["runs"]) => web::json(StatusCode::OK, &*service.runs.lock().unwrap()),
        _ => web::json(StatusCode::NOT_FOUND, &"no such path"),
    }
}
