//! Simulators of the systems around the routers, for tests and demonstrations.

mod caller;
mod engine;
mod orders;
mod platform;
mod replica;
mod report;
mod service;
mod store;
mod web;

use clap::{Parser, Subcommand};

/// Simulates the systems around the routers, for tests and demonstrations.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a log service, an instance list and a weight store.
    Platform(platform::Args),
    /// Runs a model engine.
    Engine(engine::Args),
    /// Runs a plain service that takes bookings.
    Service(service::Args),
    /// Runs the store of the users' platform.
    Store(store::Args),
    /// Runs a backend server of the users' platform.
    Replica(replica::Args),
    /// Sends chats and bookings as callers do; prints one JSON line at the end.
    Caller(caller::Args),
    /// Sends one JSON request and prints the answer.
    Request {
        /// HTTP method.
        method: String,
        /// URL.
        url: String,
        /// Body, as JSON.
        #[arg(default_value = "")]
        body: String,
        /// Bearer token of an operator.
        #[arg(long, default_value = "")]
        token: String,
    },
}

#[tokio::main]
async fn main() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match Args::parse().command {
        Command::Platform(args) => platform::run(args).await,
        Command::Engine(args) => engine::run(args).await,
        Command::Service(args) => service::run(args).await,
        Command::Store(args) => store::run(args).await,
        Command::Replica(args) => replica::run(args).await,
        Command::Caller(args) => caller::run(args).await,
        Command::Request {
            method,
            url,
            body,
            token,
        } => request(&method, &url, body, &token).await,
    }
}

async fn request(method: &str, url: &str, body: String, token: &str) {
    let bearer = format!("Bearer {token}");
    let headers = [
        ("content-type", "application/json"),
        ("authorization", bearer.as_str()),
    ];
    match web::call(&web::client(), method, url, &headers, body).await {
        Ok((status, answer)) if status.is_success() => println!("{answer}"),
        Ok((status, answer)) => fail(&format!("{status}: {answer}")),
        Err(err) => fail(&err.to_string()),
    }
}

fn fail(message: &str) {
    eprintln!("stand-in: {message}");
    std::process::exit(1);
}
