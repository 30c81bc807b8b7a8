//! Routers as separate processes, started with the command of the deploy file.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::store::Store;

/// One router.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    platform: SocketAddr,
    child: Child,
}

impl Node {
    /// Ends the process as a loss of power does: without a signal that it could handle.
    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }

    /// Sends a signal that the process handles.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _sent = Command::new("kill").args(["-s", name, &id]).status();
    }

    /// Whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.ready, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The routers and the folder with their settings and logs.
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    root: PathBuf,
    ports: Vec<u16>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a router for each zone that is named, all on the same ports. The first three are the
    /// seeds.
    pub fn start(root: &Path, store: &Arc<Store>, zones: &[&str]) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let ips: Vec<IpAddr> = (0..zones.len())
            .map(|index| IpAddr::from([127, 81, 0, 10 + index as u8]))
            .collect();
        let mut fleet = Self {
            nodes: Vec::new(),
            folder,
            root: root.to_owned(),
            ports: (0..3).map(|_| free_port(&ips)).collect(),
        };
        for (index, zone) in zones.iter().enumerate() {
            let name = format!("front-{zone}-{}", index + 1);
            let platform = store.listen(&name);
            fleet.write_settings(&name, zone, ips[index], platform, &ips[..3.min(ips.len())]);
            let child = fleet.spawn(&name, ips[index]);
            fleet.nodes.push(Node {
                zone: (*zone).to_owned(),
                ip: ips[index],
                front: SocketAddr::new(ips[index], fleet.ports[0]),
                ready: SocketAddr::new(ips[index], fleet.ports[1]),
                platform,
                name,
                child,
            });
        }
        fleet
    }

    /// Starts a router again that has ended.
    pub fn restart(&mut self, index: usize) {
        let child = self.spawn(&self.nodes[index].name, self.nodes[index].ip);
        self.nodes[index].child = child;
    }

    /// Rewrites the settings of a router with other seeds, as the platform does while it runs.
    pub fn reseed(&self, index: usize, seeds: &[IpAddr]) {
        let node = &self.nodes[index];
        self.write_settings(&node.name, &node.zone, node.ip, node.platform, seeds);
    }

    fn write_settings(
        &self,
        name: &str,
        zone: &str,
        ip: IpAddr,
        platform: SocketAddr,
        seeds: &[IpAddr],
    ) {
        let control = self.ports[2];
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{control}\""))
            .collect();
        let text = settings(name, zone, ip, &self.ports, &seeds, platform);
        fs::write(self.settings_path(name), text).expect("the settings can be written");
    }

    fn settings_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.toml"))
    }

    fn spawn(&self, name: &str, ip: IpAddr) -> Child {
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log);
        Command::new("target/release/snipeusher-node")
            .arg("--metrics")
            .arg(format!("{ip}:9464"))
            .current_dir(&self.root)
            .env_clear()
            .env("SNIPEUSHER_CONFIG", self.settings_path(name))
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .spawn()
            .expect("the router starts")
    }

    /// Waits until all routers that run are ready.
    pub fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        let is_waiting = |node: &mut Node| node.is_running() && !node.is_ready();
        while self.nodes.iter_mut().any(is_waiting) {
            if start.elapsed() > limit {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

/// A port that is free on all addresses.
fn free_port(ips: &[IpAddr]) -> u16 {
    loop {
        let first = TcpListener::bind((ips[0], 0)).expect("a port is free");
        let port = first.local_addr().expect("the listener is bound").port();
        let mut others = ips[1..].iter();
        if others.all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
}

fn settings(
    name: &str,
    zone: &str,
    ip: IpAddr,
    ports: &[u16],
    seeds: &[String],
    platform: SocketAddr,
) -> String {
    let (front, ready, control) = (ports[0], ports[1], ports[2]);
    let seeds = seeds.join(",");
    format!(
        r#"nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "hu-central"
portRange = [7340,7355]
seedNodes = [{seeds}]
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
bp-buda = "hu-central"
bp-pest = "hu-central"
godollo = "hu-central"
[bind]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedStalenessS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
recoverS = 12
passMs = 120
againS = 10
capX = 2
[platform]
address = "{platform}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
    )
}
