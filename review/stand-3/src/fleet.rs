//! Starts the store, the servers and the routers of a case as processes on loopback addresses, and
//! ends them.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http,
    replica::{unix_millis, Settings},
};

pub const HOST: &str = "chats.example";
pub const KEY: &str = "Token key-of-kerb";

/// Bound of the deployments: a machine is in touch after this time without disruption.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// Time after which a server that has crashed is back.
const SERVER_DOWN: Duration = Duration::from_millis(2_000);

const METRICS_PORT: u16 = 9464;
const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Outcome of a case that could not run.
#[derive(Debug)]
pub struct CannotRun(pub String);

impl From<std::io::Error> for CannotRun {
    fn from(err: std::io::Error) -> Self {
        CannotRun(err.to_string())
    }
}

/// A process that is killed when dropped.
pub struct Process(Child);

impl Process {
    fn start(
        program: &str,
        args: &[String],
        env: &[(&str, &Path)],
        log: &Path,
    ) -> Result<Self, CannotRun> {
        let out = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null());
        command.stderr(out.try_clone()?).stdout(out);
        command.envs(env.iter().copied());
        let child = command.spawn();
        let child = child.map_err(|err| CannotRun(format!("{program}: {err}")))?;
        Ok(Process(child))
    }

    /// Sends SIGTERM and waits for the end, for which the process has `grace`.
    fn stop(mut self, grace: Duration) -> Duration {
        let started = Instant::now();
        // SAFETY: a signal to a child that was not waited for.
        unsafe { kill(self.0.id() as i32, SIGTERM) };
        while started.elapsed() < grace && matches!(self.0.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(20));
        }
        started.elapsed()
    }

    /// Returns the exit code of a process that has ended, 1 if a signal ended it.
    fn exit_code(&mut self) -> Option<i32> {
        match self.0.try_wait() {
            Ok(None) => None,
            Ok(Some(status)) => Some(status.code().unwrap_or(1)),
            Err(_) => Some(1),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// Writes what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_ms: u64,
}

impl Record {
    fn create() -> Result<Self, CannotRun> {
        let folder = std::env::var("CASE_DIR").map_err(|_| CannotRun("CASE_DIR".into()))?;
        let file = File::create(Path::new(&folder).join("record.txt"))?;
        Ok(Record {
            file: Arc::new(Mutex::new(file)),
            started_ms: unix_millis(),
        })
    }

    /// Writes a line of what happened at the Unix time `at_ms`.
    pub fn line_at(&self, at_ms: u64, text: &str) {
        let seconds = at_ms.saturating_sub(self.started_ms) as f64 / 1_000.0;
        let line = format!("{seconds:8.3} {text}\n");
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("a record that can be written");
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(unix_millis(), text.as_ref());
    }
}

/// A line of a server's log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    pub at_ms: u64,
    pub what: String,
    pub attempt: String,
    pub server: String,
}

pub struct Router {
    pub ip: Ipv4Addr,
    process: Option<Process>,
}

pub struct Fleet {
    pub record: Record,
    folder: PathBuf,
    store: SocketAddr,
    port: u16,
    _store_process: Process,
    pub routers: Vec<Router>,
    keepers: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    config: String,
}

/// Returns whether all ports of a router are free at `ip`.
fn are_free(ip: Ipv4Addr, port: u16) -> bool {
    let ports = [port, port + 1, port + 2, port + 3, port + 4, METRICS_PORT];
    let mut tcp = ports.iter().map(|port| TcpListener::bind((ip, *port)));
    tcp.all(|bound| bound.is_ok()) && UdpSocket::bind((ip, port)).is_ok()
}

impl Fleet {
    /// Starts the store with a configuration of the given routes, services and teams.
    pub fn start(routers: usize, config: &str) -> Result<Self, CannotRun> {
        let record = Record::create()?;
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&folder)?;
        let ip = |subnet: u32, last: usize| {
            Ipv4Addr::new(
                127,
                20 + (subnet >> 8) as u8 % 100,
                subnet as u8,
                last as u8,
            )
        };
        let candidates = (0..200).map(|number| {
            let seed = pid.wrapping_mul(7).wrapping_add(number * 131);
            (seed % 25_600, 20_000 + (seed % 10_000) as u16)
        });
        let is_usable = |(subnet, port): &(u32, u16)| {
            (1..=routers + 1).all(|last| are_free(ip(*subnet, last), *port))
        };
        let mut usable = candidates.into_iter().filter(is_usable);
        let found = usable.next();
        let (subnet, port) = found.ok_or_else(|| CannotRun("no free ports".into()))?;
        let store = SocketAddr::new(IpAddr::V4(ip(subnet, routers + 1)), port);
        let store_process = Process::start(
            "target/release/stand-in",
            &["store".into(), "--listen".into(), store.to_string()],
            &[],
            &folder.join("store.log"),
        )?;
        let routers = (1..=routers).map(|number| Router {
            ip: ip(subnet, number),
            process: None,
        });
        let fleet = Fleet {
            record,
            folder,
            store,
            port,
            _store_process: store_process,
            routers: routers.collect(),
            keepers: Vec::new(),
            is_over: Arc::default(),
            config: config.to_string(),
        };
        wait_until("the store", || {
            let timeout = Duration::from_secs(1);
            let put = http::call(
                store,
                "PUT",
                "/record/keyed.op/config",
                &[],
                config,
                timeout,
            );
            put.is_ok_and(|answer| answer.status() == 200)
        })?;
        fleet.record.line(format!("configuration {}", fleet.config));
        Ok(fleet)
    }

    /// Starts a server, which starts again under a new id at its address when it has ended.
    pub fn add_server(
        &mut self,
        number: usize,
        settings: impl Fn(Settings) -> Settings,
    ) -> Result<SocketAddr, CannotRun> {
        let listen = TcpListener::bind((self.routers[0].ip, 0))?.local_addr()?;
        let settings = settings(Settings {
            listen,
            store: self.store,
            id: String::new(),
            service: "desk".into(),
            log: self
                .folder
                .join(format!("runs-{number}.txt"))
                .display()
                .to_string(),
            deadly_path: String::new(),
            deadly_part: String::new(),
            begin_ms: 20,
            work_ms: 10,
            events: 5,
            interval_ms: 50,
        });
        let program = std::env::current_exe()?.display().to_string();
        let log = self.folder.join(format!("server-{number}.log"));
        let (record, is_over) = (self.record.clone(), self.is_over.clone());
        let keeper = thread::spawn(move || {
            for life in 1.. {
                let id = format!("s-{number}-{life}");
                let mut args = vec!["replica".to_string()];
                args.extend(
                    Settings {
                        id: id.clone(),
                        ..settings.clone()
                    }
                    .to_args(),
                );
                let Ok(mut process) = Process::start(&program, &args, &[], &log) else {
                    return;
                };
                record.line(format!("server {id} starts"));
                let code = loop {
                    if let Some(code) = process.exit_code() {
                        break code;
                    }
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(10));
                };
                if code == 0 {
                    record.line(format!("server {id} has left"));
                    return;
                }
                record.line(format!("server {id} has crashed"));
                thread::sleep(SERVER_DOWN);
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        self.keepers.push(keeper);
        Ok(listen)
    }

    pub fn callers(&self, number: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.routers[number - 1].ip), self.port + 1)
    }

    pub fn ready(&self, number: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.routers[number - 1].ip), self.port + 2)
    }

    pub fn directory(&self, number: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.routers[number - 1].ip), self.port + 4)
    }

    /// Starts a router with the command of the deploy file, and waits until it is ready.
    pub fn start_router(&mut self, number: usize) -> Result<(), CannotRun> {
        let (ip, port) = (self.routers[number - 1].ip, self.port);
        let seeds = self
            .routers
            .iter()
            .map(|router| format!("{}:{}", router.ip, port + 3));
        let seeds = seeds.take(3).collect::<Vec<_>>().join(",");
        let path = self.folder.join(format!("router-{number}.conf"));
        let text = format!(
            "node_name=router-{number}\nrole=router\nmachine_class=edge\nserves=edge,registry,control_plane\n\
             ip={ip}\nzone=zone-1\nregion=region-1\nzones.zone-1=region-1\n\
             listen.front={ip}:{}\nlisten.ready={ip}:{}\nlisten.control={ip}:{}\nlisten.directory={ip}:{}\n\
             internal_ports={port},{port}\nseeds={seeds}\nbootstrap=true\n\
             limits.memory_mb=182\nlimits.max_fds=2870\nlimits.link_mbps=700.0\nlimits.cores=1\n\
             bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_budget_slack=122\n\
             bounds.cap_factor=2\nbounds.ttl_max_s=5\nplatform.address={}\nplatform.form=log\n",
            port + 1,
            port + 2,
            port + 3,
            port + 4,
            self.store
        );
        fs::write(&path, text)?;
        let process = Process::start(
            "target/release/ebonyspur-edge",
            &["--metrics-port".into(), METRICS_PORT.to_string()],
            &[("EBONYSPUR_NODE_FILE", &path)],
            &self.folder.join(format!("router-{number}.log")),
        )?;
        self.routers[number - 1].process = Some(process);
        let ready = self.ready(number);
        wait_until("a router", || is_ready(ready))?;
        self.record.line(format!("router {number} is ready"));
        Ok(())
    }

    /// Starts all routers at once.
    pub fn start_routers(&mut self) -> Result<(), CannotRun> {
        for number in 1..=self.routers.len() {
            self.start_router(number)?;
        }
        Ok(())
    }

    /// Kills a router, which stays down.
    pub fn kill_router(&mut self, number: usize) {
        self.record.line(format!("router {number} is killed"));
        self.routers[number - 1].process = None;
    }

    /// Stops a router with SIGTERM, as the platform does.
    pub fn stop_router(&mut self, number: usize) {
        self.record.line(format!("router {number} gets SIGTERM"));
        if let Some(process) = self.routers[number - 1].process.take() {
            let took = process.stop(Duration::from_secs(8));
            let seconds = took.as_secs_f64();
            self.record
                .line(format!("router {number} has ended after {seconds:.1} s"));
        }
    }

    /// Returns what reached the servers so far, in order of time.
    pub fn runs(&self, servers: usize) -> Vec<Run> {
        let mut runs = Vec::new();
        for number in 1..=servers {
            let text = fs::read_to_string(self.folder.join(format!("runs-{number}.txt")));
            for line in text.unwrap_or_default().lines() {
                let mut words = line.split(' ').map(str::to_string);
                let mut word = || words.next().unwrap_or_default();
                runs.push(Run {
                    at_ms: word().parse().unwrap_or(0),
                    what: word(),
                    attempt: word(),
                    server: word(),
                });
            }
        }
        runs.sort_by_key(|run| run.at_ms);
        runs
    }

    /// Writes what reached the servers to the record.
    pub fn record_runs(&self, servers: usize) {
        for run in self.runs(servers) {
            let text = format!("  at server {}: {} {}", run.server, run.what, run.attempt);
            self.record.line_at(run.at_ms, &text);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for keeper in self.keepers.drain(..) {
            drop(keeper.join());
        }
        for router in &mut self.routers {
            router.process = None;
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// Returns whether a router says at `address` that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let answer = http::call(address, "GET", "/-/readyz", &[], "", Duration::from_secs(1));
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Waits until `is_done`, for 10 s at most.
pub fn wait_until(what: &str, is_done: impl Fn() -> bool) -> Result<(), CannotRun> {
    let started = Instant::now();
    while !is_done() {
        if started.elapsed() > Duration::from_secs(10) {
            return Err(CannotRun(format!("{what} did not come up")));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Returns whether the case is to run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
