//! A small fleet of real processes on loopback, killed when dropped.

#![allow(dead_code)]

pub mod http;
mod port;
mod process;
pub mod spec;

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
};

pub use port::free_address;
#[allow(unused_imports)]
pub use process::{
    output, program, show_logs_of_failure, spawn, wait_until, Process, WAIT_TIMEOUT,
};
use serde_json::{json, Value};

/// Token of the operator in each test fleet.
pub const TOKEN: &str = "token-of-the-test-operator";

/// Path of an empty read whose answer has the first and the next offset of the
/// configuration stream.
pub const STREAM_BOUNDS: &str = "/v1/log/config?from=9223372036854775807";

/// A router process and its addresses.
pub struct RouterProcess {
    pub process: Process,
    pub name: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
}

/// A process of a simulated engine or server.
pub struct Backend {
    pub process: Process,
    pub name: String,
    pub address: SocketAddr,
}

/// Processes of a simulated platform, engines, servers and routers.
pub struct Fleet {
    pub platform: SocketAddr,
    pub engines: Vec<Backend>,
    pub servers: Vec<Backend>,
    pub routers: Vec<RouterProcess>,
    pub dir: tempfile::TempDir,
    platform_process: Process,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        show_logs_of_failure(self.dir.path());
    }
}

impl Fleet {
    /// Starts a fleet with one team `kerb`, a chat service `planner` and a plain one `trade`.
    pub fn start(engines: usize, routers: usize) -> Self {
        Fleet::start_with(&[], engines, routers)
    }

    /// Starts the fleet of [`Fleet::start`] with extra arguments for the platform.
    pub fn start_with(platform_args: &[&str], engines: usize, routers: usize) -> Self {
        let mut fleet = Fleet::platform_only(platform_args);
        fleet.publish("first", &base_ops());
        for _ in 0..engines {
            fleet.add_engine(&[]);
        }
        fleet.add_server();
        for _ in 0..routers {
            fleet.add_router("");
        }
        fleet.await_ready();
        fleet
    }

    /// Starts only the platform, with extra arguments.
    pub fn platform_only(args: &[&str]) -> Self {
        let dir = tempfile::tempdir().expect("a directory");
        let platform = free_address();
        let listen = platform.to_string();
        let mut all = vec!["platform", "--listen", &listen];
        all.extend(args);
        let process = Process::start("stand-in", &all, &dir.path().join("platform.log"));
        let fleet = Fleet {
            platform,
            engines: Vec::new(),
            servers: Vec::new(),
            routers: Vec::new(),
            dir,
            platform_process: process,
        };
        let url = fleet.platform_url("/v1/instances");
        wait_until("the platform answers", || get(&url).is_some());
        fleet
    }

    /// Returns the URL of a path on the platform.
    pub fn platform_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.platform)
    }

    /// Appends a change to the configuration stream.
    pub fn publish(&self, id: &str, ops: &Value) {
        let base = get(&self.platform_url(STREAM_BOUNDS)).expect("a page")["head"].clone();
        let change = json!({
            "record": "change", "id": id, "operator": "test", "at": 0, "base": base, "ops": ops,
        });
        let url = self.platform_url("/v1/log/config");
        call("POST", &url, &json!({ "entries": [change] })).expect("an append");
    }

    /// Replaces the injected faults of the platform.
    pub fn faults(&self, faults: &Value) {
        call("POST", &self.platform_url("/faults"), faults).expect("faults");
    }

    /// Starts an engine of the pool `planners`.
    pub fn add_engine(&mut self, args: &[&str]) {
        let number = self.engines.len() + 1;
        let backend = self.start_backend("engine", number, "planners", args);
        self.engines.push(backend);
    }

    /// Starts a server of the pool `trades`.
    pub fn add_server(&mut self) {
        let number = self.servers.len() + 1;
        let backend = self.start_backend("service", number, "trades", &[]);
        self.servers.push(backend);
    }

    fn start_backend(&self, kind: &str, number: usize, pool: &str, args: &[&str]) -> Backend {
        let name = format!("{kind}-{number}");
        let address = free_address();
        let (listen, platform) = (address.to_string(), self.platform_url(""));
        let domain = format!("d{}", number % 3 + 1);
        let mut all = vec![kind, "--listen", &listen, "--name", &name, "--pool", pool];
        all.extend(["--domain", &domain, "--platform", &platform]);
        all.extend(args);
        let log = self.dir.path().join(format!("{name}.log"));
        Backend {
            process: Process::start("stand-in", &all, &log),
            name,
            address,
        }
    }

    /// Starts a router with extra settings and adds it to the instance list.
    pub fn add_router(&mut self, extra: &str) {
        let number = self.routers.len() + 1;
        let name = format!("router-{number}");
        let (callers, peers, operators) = (free_address(), free_address(), free_address());
        let domain = format!("d{}", number % 3 + 1);
        let settings = format!(
            "router: {{name: {name}, failure_domain: {domain}}}\n\
             listen: {{callers: '{callers}', peers: '{peers}', operators: '{operators}'}}\n\
             platform: {{url: '{}'}}\n\
             peers: {{keys: [key-of-the-test-fleet]}}\n\
             operators: [{{name: test, token: {TOKEN}}}]\n{extra}",
            self.platform_url("")
        );
        std::fs::write(self.settings_file(&name), settings).expect("a settings file");
        let instance = json!({
            "kind": "router", "address": callers, "peer_address": peers,
            "failure_domain": domain, "state": "live",
        });
        let url = self.platform_url(&format!("/v1/instances/{name}"));
        call("PUT", &url, &instance).expect("an instance");
        let process = self.start_daemon(&name);
        self.routers.push(RouterProcess {
            process,
            name,
            callers,
            peers,
            operators,
        });
    }

    fn settings_file(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.yaml"))
    }

    fn start_daemon(&self, name: &str) -> Process {
        let file = self.settings_file(name);
        let file = file.to_str().expect("a path of text");
        let log = self.dir.path().join(format!("{name}.log"));
        Process::start("ebonyspurd", &["--settings", file], &log)
    }

    /// Kills a router.
    pub fn kill_router(&mut self, index: usize) {
        self.routers[index].process.kill();
    }

    /// Restarts a router; kills it first if it still runs.
    pub fn restart_router(&mut self, index: usize) {
        if !self.routers[index].process.has_ended() {
            self.kill_router(index);
        }
        self.routers[index].process = self.start_daemon(&self.routers[index].name);
    }

    /// Restarts a router with `log` as the address of its log service.
    pub fn restart_router_with_log(&mut self, index: usize, log: SocketAddr) {
        let file = self.settings_file(&self.routers[index].name);
        let text = std::fs::read_to_string(&file).expect("a settings file");
        let text = text.replace(
            "platform: {",
            &format!("platform: {{log_url: 'http://{log}', "),
        );
        std::fs::write(&file, text).expect("a settings file");
        self.restart_router(index);
    }

    /// Removes a router from the instance list, as the platform does when it has stopped.
    pub fn unlist_router(&self, name: &str) {
        let url = self.platform_url(&format!("/v1/instances/{name}"));
        call("DELETE", &url, &Value::Null).expect("a change");
    }

    /// Waits until each router serves and knows all routers, engines and servers.
    pub fn await_ready(&self) {
        let backends = self.engines.len() + self.servers.len();
        for router in &self.routers {
            wait_until("the router is ready", || {
                let Some(state) = dump(router) else {
                    return false;
                };
                let count = |key: &str| state[key].as_array().map_or(0, Vec::len);
                let peers = state["routers"].as_object().map_or(0, |peers| peers.len());
                state["phase"] == "serving"
                    && count("engines") == backends
                    && peers + 1 == self.routers.len()
            });
        }
    }

    /// Runs the load generator to its end and returns its report.
    pub fn load(&self, args: &[&str]) -> Value {
        parse_report(&output(&mut self.load_command(args)))
    }

    /// Starts the load generator without waiting for its end.
    pub fn start_load(&self, args: &[&str]) -> Child {
        let mut command = self.load_command(args);
        spawn(command.stdout(Stdio::piped()))
    }

    fn load_command(&self, args: &[&str]) -> Command {
        let list = |addresses: Vec<String>| addresses.join(",");
        let routers = list(self.routers.iter().map(|r| r.callers.to_string()).collect());
        let servers = list(self.servers.iter().map(|s| s.address.to_string()).collect());
        let mut command = Command::new(program("stand-in"));
        command.args(["caller", "--routers", &routers, "--servers", &servers]);
        command.args(args);
        command
    }
}

/// Parses the report of a finished load generator.
pub fn parse_report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("a JSON report")
}

/// Returns the state dump of a router.
pub fn dump(router: &RouterProcess) -> Option<Value> {
    get(&format!("http://{}/state", router.operators))
}

/// Returns the JSON at `url`, or `None` without a successful answer.
pub fn get(url: &str) -> Option<Value> {
    call("GET", url, &Value::Null)
}

/// Sends JSON to `url` as the operator and returns the JSON of a successful answer.
pub fn call(method: &str, url: &str, body: &Value) -> Option<Value> {
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let args = ["request", "--token", TOKEN, method, url, &body];
    let output = output(Command::new(program("stand-in")).args(args));
    output
        .status
        .success()
        .then(|| serde_json::from_slice(&output.stdout).unwrap_or(Value::Null))
}

/// Returns the configuration operations that each test fleet starts with.
pub fn base_ops() -> Value {
    json!([
        { "op": "put_team", "name": "kerb" },
        { "op": "put_pool", "name": "planners" },
        { "op": "put_pool", "name": "trades" },
        { "op": "put_service", "name": "planner", "kind": "chat", "pool": "planners" },
        { "op": "put_service", "name": "trade", "kind": "plain", "pool": "trades" },
    ])
}
