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
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Node {
    /// Ends the process as a loss of power does: without a signal that it could handle.
    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
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
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a router for each zone that is named, all on the same ports.
    pub fn start(root: &Path, store: &Arc<Store>, zones: &[&str]) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let ips: Vec<IpAddr> = (0..zones.len())
            .map(|index| IpAddr::from([127, 81, 0, 10 + index as u8]))
            .collect();
        let ports: Vec<u16> = (0..3).map(|_| free_port(&ips)).collect();
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{}\"", ports[2]))
            .collect();
        let mut nodes = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let ip = ips[index];
            let name = format!("front-{zone}-{}", index + 1);
            let platform = store.listen(&name);
            let text = settings(&name, zone, ip, &ports, &seeds, platform);
            let path = folder.join(format!("{name}.toml"));
            fs::write(&path, text).expect("the settings can be written");
            let log = fs::File::create(folder.join(format!("{name}.log")));
            let child = Command::new("target/release/snipeusher-node")
                .arg("--metrics")
                .arg(format!("{ip}:9464"))
                .current_dir(root)
                .env_clear()
                .env("SNIPEUSHER_CONFIG", &path)
                .stdin(Stdio::null())
                .stdout(log.expect("the log can be written"))
                .spawn()
                .expect("the router starts");
            nodes.push(Node {
                name,
                front: SocketAddr::new(ip, ports[0]),
                ready: SocketAddr::new(ip, ports[1]),
                child,
            });
        }
        Self { nodes, folder }
    }

    /// Waits until all routers are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while !self.nodes.iter().all(Node::is_ready) {
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
