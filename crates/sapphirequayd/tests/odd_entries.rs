//! Tests of what another writer leaves among the messages of upstreams and operators.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Role, StubUpstream, send},
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":VERSION,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Lease of an upstream without heartbeats, and some more.
const LEASE: Duration = Duration::from_secs(9);

/// Levels of the nested values.
const LEVELS: usize = 100_000;

fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// A heartbeat with fields in place of the usual ones; `more` follows them.
fn heartbeat(addr: SocketAddr, replaced: &[(&str, &str)], more: &str) -> Vec<u8> {
    static SEQUENCE: AtomicU64 = AtomicU64::new(1);
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed).to_string();
    let addr = format!("\"{addr}\"");
    let usual = [
        ("Service", "\"app\""),
        ("Address", &*addr),
        ("Zone", "\"dc-1\""),
        ("Version", "\"v1\""),
        ("Slots", "16"),
        ("State", "\"ready\""),
        ("Seq", &*sequence),
        ("born", "5"),
    ];
    let fields = usual.map(|(name, value)| {
        let other = replaced.iter().find(|(other, _)| *other == name);
        let value = other.map_or(value, |(_, value)| *value);
        format!("\"{name}\":{value}")
    });
    format!("{{{}{more}}}", fields.join(",")).into_bytes()
}

/// Sends a message with any body. Returns the status.
fn post(addr: SocketAddr, path: &str, body: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).ok()?;
    let timeout = Some(Duration::from_secs(9));
    stream.set_read_timeout(timeout).ok()?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut got = String::new();
    stream.read_to_string(&mut got).ok()?;
    got.split(' ').nth(1)?.parse().ok()
}

/// A gateway with a table and one upstream.
struct Site {
    gateway: Gateway,
    upstream: StubUpstream,
}

impl Site {
    fn start() -> Self {
        let gateway = Gateway::start(1);
        let table = TABLE.replace("VERSION", "1");
        wait_until("the table is accepted", || {
            let put = post(
                gateway.controls[0],
                "/sapphirequay/config/put",
                table.as_bytes(),
            );
            put == Some(200)
        });
        Self {
            gateway,
            upstream: StubUpstream::start(),
        }
    }

    /// Sends a usual heartbeat.
    fn announce(&self, name: &str) {
        let path = format!("/sapphirequay/instances/{name}/heartbeat");
        wait_until("the heartbeat is accepted", || {
            let body = heartbeat(self.upstream.addr, &[], "");
            post(self.gateway.controls[0], &path, &body) == Some(200)
        });
    }

    fn is_served(&self, front: usize) -> bool {
        let head = "GET /read/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: r\nX-Sapphirequay-Deadline-Ms: 1000";
        send(self.gateway.fronts[front], head, "").is_some_and(|got| got.status == 200)
    }

    /// Checks that an upstream with usual heartbeats stays in use for longer than a
    /// lease, that tables are still followed, and that no process has ended.
    fn assert_sound(&mut self, processes: &[(Role, u32)]) {
        let began = Instant::now();
        while began.elapsed() < LEASE {
            self.announce("app-1");
            thread::sleep(Duration::from_secs(1));
        }
        for front in [0, 1] {
            wait_until("a front serves", || {
                self.announce("app-1");
                self.is_served(front)
            });
        }
        let table = TABLE.replace("VERSION", "9").replace("/read/", "/new/");
        wait_until("the table is accepted", || {
            let control = self.gateway.controls[0];
            post(control, "/sapphirequay/config/put", table.as_bytes()) == Some(200)
        });
        for front in [0, 1] {
            wait_until("a front has the new table", || !self.is_served(front));
        }
        for (role, id) in processes {
            assert!(self.gateway.is_running(*role), "{role:?} has ended");
            assert_eq!(self.gateway.process_id(*role), *id);
        }
    }
}

/// Guards against one odd entry that ends the processes that read the list, or hides an
/// upstream (report of other operators).
#[test]
fn odd_heartbeats_end_no_process_and_hide_no_upstream() {
    let mut site = Site::start();
    let running = site.gateway.running().into_iter();
    let processes: Vec<_> = running
        .map(|role| (role, site.gateway.process_id(role)))
        .collect();
    site.announce("app-1");
    let addr = site.upstream.addr;
    let nested = "[".repeat(LEVELS) + &"]".repeat(LEVELS);
    let objects = "{\"a\":".repeat(LEVELS) + "1" + &"}".repeat(LEVELS);
    let long = format!("\"{}\"", "x".repeat(2 << 20));
    let largest = u64::MAX.to_string();
    let fields = [
        ("Slots", &*nested),
        ("State", &*objects),
        ("Address", "\"127.0.0.1:0\""),
        ("Address", "\"127.0.0.1:65536\""),
        ("Address", "\"127.0.0.1:-1\""),
        ("Address", "7"),
        ("Seq", &*largest),
        ("Seq", "18446744073709551616"),
        ("Seq", "1e400"),
        ("Seq", "1.0"),
        ("Seq", "-1"),
        ("born", &*largest),
        ("born", "1e400"),
        ("born", "-1"),
        ("Slots", "4294967296"),
        ("Slots", "1e400"),
        ("Zone", &*long),
        ("State", "\"odd\""),
        ("Service", "null"),
    ];
    let mut bodies: Vec<Vec<u8>> = fields
        .iter()
        .map(|field| heartbeat(addr, &[*field], ""))
        .collect();
    let refused = bodies.len();
    // Unknown fields are ignored, whatever they hold; names of no service are accepted.
    for more in [&nested, &objects, "1e400", &largest] {
        bodies.push(heartbeat(addr, &[], &format!(",\"Other\":{more}")));
    }
    bodies.push(heartbeat(addr, &[("Version", &*long)], ""));
    bodies.push(vec![0xff; 100]);
    bodies.push(Vec::new());
    let control = site.gateway.controls[1];
    for (number, body) in bodies.iter().enumerate() {
        let own = format!("/sapphirequay/instances/odd-{number}/heartbeat");
        for path in [&*own, "/sapphirequay/instances/app-1/heartbeat"] {
            let status = post(control, path, body);
            let text = String::from_utf8_lossy(&body[..body.len().min(300)]);
            let text = text.chars().take(200).collect::<String>();
            assert!(
                matches!(status, Some(200 | 400 | 503)),
                "{status:?} for {text}"
            );
            assert!(
                number >= refused || status == Some(400),
                "{status:?} for {text}"
            );
        }
    }
    let name = "n".repeat(8_000);
    let path = format!("/sapphirequay/instances/{name}/heartbeat");
    assert_eq!(post(control, &path, &heartbeat(addr, &[], "")), Some(400));
    site.assert_sound(&processes);
}

/// The same for leave messages and tables.
#[test]
fn odd_leave_messages_and_tables_end_no_process_and_hide_no_upstream() {
    let mut site = Site::start();
    let running = site.gateway.running().into_iter();
    let processes: Vec<_> = running
        .map(|role| (role, site.gateway.process_id(role)))
        .collect();
    site.announce("app-1");
    let nested = "[".repeat(LEVELS) + &"]".repeat(LEVELS);
    let control = site.gateway.controls[1];
    for value in [&*nested, &u64::MAX.to_string(), "1e400", "-1", "\"x\""] {
        let body = format!("{{\"born\":{value}}}");
        let path = "/sapphirequay/instances/app-1/leave";
        assert_eq!(
            post(control, path, body.as_bytes()),
            Some(400),
            "{value:.40}"
        );
        for field in ["Version", "Routes", "Services", "Limits"] {
            let table = format!("{{\"{field}\":{value}}}");
            let status = post(control, "/sapphirequay/config/put", table.as_bytes());
            assert_eq!(status, Some(400), "{field} {value:.40}");
        }
    }
    let body = [0xff; 100];
    let path = "/sapphirequay/instances/app-1/leave";
    assert_eq!(post(control, path, &body), Some(400));
    site.assert_sound(&processes);
}
