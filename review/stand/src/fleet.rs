//! Starts the store stand-in and the routers, and ends them.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, ExitCode},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Memory of a machine as in the small deployments, in MB.
pub const MEMORY_MB: u64 = 182;

/// What a case writes down, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

pub struct Fleet {
    pub record: Record,
    pub store: SocketAddr,
    dir: PathBuf,
    ips: Vec<Ipv4Addr>,
    ports: [u16; 6],
    store_process: Child,
    routers: Mutex<Vec<Child>>,
}

/// Returns whether the port is free at all addresses, for TCP and UDP.
fn is_free(ips: &[Ipv4Addr], port: u16) -> bool {
    let mut all = ips.iter().map(|ip| SocketAddr::new(IpAddr::V4(*ip), port));
    all.all(|at| TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok())
}

/// Returns an address with a port that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Fleet {
    /// Starts a store with `config` and `count` routers; `bounds` are further lines of their settings.
    pub fn start(record: &Record, count: u8, config: &str, bounds: &str) -> Result<Self, String> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let net = (pid % 200) as u8 + 20;
        let ips: Vec<_> = (1..=count).map(|n| Ipv4Addr::new(127, net, 0, n)).collect();
        let mut free = (20_000..32_000)
            .skip((pid % 5_000) as usize)
            .filter(|port| is_free(&ips, *port));
        let ports = [0; 6].map(|_| free.next().unwrap_or(0));
        let store = free_address();
        let log = File::create(dir.join("store.log")).map_err(|e| e.to_string())?;
        let store_process = Command::new("target/release/stand-in")
            .args(["store", "--listen", &store.to_string()])
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("store: {e}"))?;
        let fleet = Fleet {
            record: record.clone(),
            store,
            dir,
            ips,
            ports,
            store_process,
            routers: Mutex::default(),
        };
        fleet.wait(
            || http::call(store, "PUT", "/faults", "{}").is_ok(),
            "the store",
        )?;
        fleet.put("keyed.op/config", config);
        let seeds: Vec<_> = fleet
            .ips
            .iter()
            .map(|ip| format!("{ip}:{}", ports[2]))
            .collect();
        for (n, ip) in fleet.ips.iter().enumerate() {
            let [front, ready, control, directory, internal, _] = ports;
            let settings = format!(
                "node_name=edge-{n}\nrole=router\nmachine_class=edge\nip={ip}\nzone=zone-{n}\n\
                 listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\nlisten.control={ip}:{control}\n\
                 listen.directory={ip}:{directory}\ninternal_ports={internal},{internal}\nseeds={}\n\
                 platform.address={store}\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds=2870\n\
                 limits.link_mbps=700.0\nheartbeat_ms=1200\nbounds.grace_s=8\n\
                 bounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=122\n\
                 bounds.budget_window_s=10\nbounds.cap_factor=2\nbounds.ttl_max_s=5\n{bounds}",
                seeds.join(",")
            );
            fs::write(fleet.dir.join(format!("edge-{n}.conf")), settings)
                .map_err(|e| e.to_string())?;
            let child = fleet.spawn_router(n)?;
            fleet.routers.lock().unwrap().push(child);
        }
        for n in 0..fleet.ips.len() {
            fleet.wait(|| fleet.is_ready(n), "a router")?;
        }
        record.line(format!(
            "routers ready at {:?}, store at {store}",
            fleet.ips
        ));
        Ok(fleet)
    }

    fn wait(&self, done: impl Fn() -> bool, what: &str) -> Result<(), String> {
        for _ in 0..400 {
            if done() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(25));
        }
        Err(format!("{what} did not start"))
    }

    fn is_ready(&self, n: usize) -> bool {
        let at = SocketAddr::new(IpAddr::V4(self.ips[n]), self.ports[1]);
        http::call(at, "GET", "/-/readyz", "").is_ok_and(|answer| answer.status() == 200)
    }

    /// Starts a router with the command of the deploy file.
    fn spawn_router(&self, n: usize) -> Result<Child, String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("edge-{n}.log")));
        let log = log.map_err(|e| e.to_string())?;
        Command::new("target/release/ebonyspur-edge")
            .args(["--metrics-port", &self.ports[5].to_string()])
            .env_clear()
            .env(
                "EBONYSPUR_NODE_FILE",
                self.dir.join(format!("edge-{n}.conf")),
            )
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("router: {e}"))
    }

    /// Writes a record as the operator, a server or another writer does.
    pub fn put(&self, key: &str, value: &str) {
        if let Err(err) = http::call(self.store, "PUT", &format!("/record/{key}"), value) {
            self.record
                .line(format!("the store did not take {key}: {err}"));
        }
    }

    pub fn count(&self) -> usize {
        self.ips.len()
    }

    pub fn front(&self, n: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ips[n]), self.ports[0])
    }

    /// Returns the resident memory of a router in MB.
    pub fn memory_mb(&self, n: usize) -> u64 {
        let pid = self.routers.lock().unwrap()[n].id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb: u64 = line
            .and_then(|l| l.split_whitespace().next()?.parse().ok())
            .unwrap_or(0);
        kb / 1_024
    }

    /// Kills a router, as the platform kills a process over its memory, and starts it again.
    pub fn kill_and_restart(&self, n: usize) {
        let mut routers = self.routers.lock().unwrap();
        let _ = routers[n].kill();
        let _ = routers[n].wait();
        thread::sleep(Duration::from_millis(200));
        match self.spawn_router(n) {
            Ok(child) => routers[n] = child,
            Err(err) => self.record.line(err),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = self.store_process.kill();
        let _ = self.store_process.wait();
        for router in self.routers.lock().unwrap().iter_mut() {
            let _ = router.kill();
            let _ = router.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Writes the outcome; 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn outcome(record: &Record, result: Result<bool, String>) -> ExitCode {
    let (text, code) = match result {
        Ok(true) => ("BROKEN".to_string(), 1),
        Ok(false) => ("held".to_string(), 0),
        Err(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
