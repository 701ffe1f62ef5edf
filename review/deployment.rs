//! Starts the project's programs as separate processes on loopback addresses, and records what happens.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl` that names the signal for the end of the parent.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// The lines of `record.txt`, each with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2);
        });
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// The network and folders of one run.
pub struct Deployment {
    /// Second and third part of all addresses, so that runs do not meet.
    net: (u8, u8),
    pub base_port: u16,
    folder: PathBuf,
    processes: Vec<(String, Child)>,
    pub record: Record,
}

pub struct GatewayAddresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Deployment {
    pub fn new(record: Record) -> Self {
        let pid = std::process::id();
        let net = ((pid >> 8 & 127) as u8 + 64, (pid & 255) as u8);
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let probe = |port| TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, 1), port)).is_ok();
        // Below the range from which the system takes ports for outgoing connections.
        let base_port = (11_000..30_000).step_by(40).find(|port| (0..30).all(|n| probe(port + n)));
        let base_port = base_port.unwrap_or_else(|| std::process::exit(2));
        Self { net, base_port, folder, processes: Vec::new(), record }
    }

    pub fn address(&self, machine: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1, machine);
        SocketAddr::new(IpAddr::V4(ip), self.base_port + port)
    }

    pub fn store_address(&self) -> SocketAddr {
        self.address(1, 9)
    }

    fn settings(&self, name: &str, machine: u8, memory_mb: u32) -> String {
        let ip = self.address(machine, 0).ip();
        let (first, last) = (self.base_port + 10, self.base_port + 25);
        let seeds: Vec<_> = (2..5).map(|seed| self.address(seed, 3).to_string()).collect();
        format!(
            "node_name={name}\nip={ip}\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n\
             internal_ports={first},{last}\nseeds={}\nbootstrap=true\nlimits.cpu_share=0.17\n\
             limits.cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds=2870\n\
             limits.link_mbps=700.0\nheartbeat_ms=1200\nbounds.stable_window_ms=3000\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.retry_budget_slack=207\nplatform.address={}\nplatform.form=log\n",
            seeds.join(","),
            self.store_address()
        )
    }

    /// Starts a gateway on a machine, with the command of the deploy file. Machines 2 to 4 are the seeds.
    pub fn start_gateway(&mut self, machine: u8) -> GatewayAddresses {
        let addresses =
            GatewayAddresses { front: self.address(machine, 0), ready: self.address(machine, 1) };
        let name = format!("front-{machine}");
        let settings = self.settings(&name, machine, 182)
            + &format!(
                "machine_class=front\nlisten.front={}\nlisten.ready={}\nlisten.directory={}\n",
                addresses.front,
                addresses.ready,
                self.address(machine, 2)
            );
        self.start(&name, "run", &settings);
        addresses
    }

    /// Starts an agent beside the server at `app`.
    pub fn start_agent(&mut self, machine: u8, app: SocketAddr) {
        let name = format!("side-{machine}");
        let settings =
            self.settings(&name, machine, 128) + &format!("machine_class=side\napp={app}\n");
        self.start(&name, "agent", &settings);
    }

    fn start(&mut self, name: &str, role: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("a settings file");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let mut command = Command::new("target/release/lycheewood-platform");
        // No process outlives the run, however that ends. Only this call is made between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg(role)
            .env_clear()
            .env("LYCHEEWOOD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("cannot start target/release/lycheewood-platform: {error}");
            std::process::exit(2);
        });
        self.record.line(&format!("started {name} ({role}) as process {}", child.id()));
        self.processes.push((name.to_owned(), child));
    }

    pub fn pid(&self, name: &str) -> u32 {
        let found = self.processes.iter().find(|(process, _)| process == name);
        found.map(|(_, child)| child.id()).expect("a known process")
    }

    /// Sends a signal to a process that this deployment started.
    pub fn signal(&self, name: &str, signal: i32) {
        self.record.line(&format!("signal {signal} to {name}"));
        // The process is a child that has not been waited for, so its id is not used again.
        unsafe { kill(self.pid(name) as i32, signal) };
    }

    /// Waits until a gateway says that it is ready; the run cannot go on otherwise.
    pub fn wait_ready(&mut self, gateway: &GatewayAddresses) {
        for _ in 0..200 {
            if is_ready(gateway.ready) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.end(2, "a gateway did not become ready");
    }

    /// Ends all processes and this one.
    pub fn end(&mut self, code: i32, text: &str) -> ! {
        self.record.line(text);
        println!("{text}");
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code)
    }
}

/// Whether a gateway answers the platform's readiness call with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || {
        let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
        connection.tcp.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        connection.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
        connection.read_message().ok()?
    };
    ask().is_some_and(|reply| reply.status() == 200)
}

/// Whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
