//! Tests of accounts in a gateway of separate processes: keys in every form, rotation,
//! what upstreams get, state of two accounts, and fronts that may be out of date.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Response, Role, StubUpstream, header, read_request, send},
    std::{
        cell::Cell,
        io::Write as _,
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":VERSION,"Routes":[
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Service":"llm","Retain":true,"RetentionS":60.0},
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":90000,"SloMs":60,"Service":"app","MaxAttempts":2},
{"Name":"open","Host":"a.example","PathPrefix":"/open/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Service":"app","MaxAttempts":2,"Public":true}],
"Services":[{"Name":"llm","MaxConns":100,"Engine":{"Slots":16,"StrideTokens":10}},{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"alpha","ApiKeys":["KEY"],"Priority":1},{"Name":"beta","ApiKeys":["sk-beta"],"Priority":2}]}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    while began.elapsed() < WAIT_TIMEOUT {
        if let Some(got) = poll() {
            return got;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out waiting until {what}");
}

/// Gateway with two accounts and two upstreams.
struct Site {
    gateway: Gateway,
    llm: StubUpstream,
    app: StubUpstream,
    /// Number of heartbeats and requests sent.
    sent: Cell<u64>,
}

impl Site {
    fn start(stores: usize) -> Self {
        let site = Self {
            gateway: Gateway::start(stores),
            llm: StubUpstream::start(),
            app: StubUpstream::start(),
            sent: Cell::default(),
        };
        site.put_table(3, "sk-alpha-1");
        site.announce();
        for front in 0..2 {
            wait_for("the front serves", || {
                let got = site.read(front, "Authorization: Bearer sk-alpha-1")?;
                (got.status == 200).then_some(())
            });
        }
        site
    }

    fn next(&self) -> u64 {
        self.sent.set(self.sent.get() + 1);
        self.sent.get()
    }

    fn put(&self, document: &str) -> Option<Response> {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(self.gateway.controls[0], head, document)
    }

    fn put_table(&self, version: u32, key: &str) {
        let text = TABLE.replace("VERSION", &version.to_string());
        wait_for("the table is accepted", || {
            let got = self.put(&text.replace("KEY", key))?;
            (got.status == 200).then_some(())
        });
    }

    fn announce(&self) {
        for (service, upstream) in [("llm", &self.llm), ("app", &self.app)] {
            let head =
                format!("POST /sapphirequay/instances/{service}-1/heartbeat HTTP/1.1\nHost: c");
            wait_for("the heartbeat is accepted", || {
                let body = format!(
                    r#"{{"Service":"{service}","Address":"{}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{},"born":5}}"#,
                    upstream.addr,
                    self.next()
                );
                let got = send(self.gateway.controls[1], &head, &body)?;
                (got.status == 200).then_some(())
            });
        }
    }

    /// Head of a request of a path with these other header lines.
    fn head(&self, path: &str, lines: &str) -> String {
        let id = self.next();
        format!(
            "POST {path} HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: r{id}\nX-Sapphirequay-Deadline-Ms: 90000\n{lines}"
        )
    }

    fn read(&self, front: usize, lines: &str) -> Option<Response> {
        send(
            self.gateway.fronts[front],
            &self.head("/read/1", lines),
            "in",
        )
    }

    /// Sends requests until one is not answered with 503, which says that the host may
    /// be out of date, as one can be on a busy machine.
    fn answer(&self, path: &str, lines: &str) -> Response {
        wait_for("the request is answered", || {
            self.announce();
            let got = send(self.gateway.fronts[0], &self.head(path, lines), "in")?;
            (got.status != 503).then_some(got)
        })
    }

    /// Sends turns of a program until one is not answered with 503; `name` and the
    /// number of the try make up its id. Returns the id and the response.
    fn turn(&self, key: &str, name: &str, prior: &str, input: &str) -> (String, Response) {
        let mut tries = 0;
        wait_for("the turn is answered", || {
            self.announce();
            tries += 1;
            let id = format!("{name}-{tries}");
            let mut head = format!(
                "POST /chat/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Program-Id: p\n\
                 X-Sapphirequay-Token-Budget: 70\nX-Sapphirequay-Token-Usage: 5,30\nAuthorization: Bearer {key}"
            );
            if !prior.is_empty() {
                head = format!("{head}\nX-Sapphirequay-Previous-Turn: {prior}");
            }
            let got = send(self.gateway.fronts[0], &head, input)?;
            (got.status != 503).then_some((id, got))
        })
    }

    /// Polls a front with a key until it answers with a status and a text in the body.
    fn wait_for_answer(&self, front: usize, key: &str, status: u16, text: &str) {
        wait_for("the front answers as expected", || {
            let got = self.read(front, &format!("Authorization: Bearer {key}"))?;
            (got.status == status && got.body.contains(text)).then_some(())
        });
    }
}

/// Connection that is kept alive.
struct Kept(TcpStream);

impl Kept {
    fn open(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).expect("connection");
        let timeout = Some(Duration::from_secs(30));
        stream.set_read_timeout(timeout).expect("time-out");
        Self(stream)
    }

    fn write(&mut self, head: &str) {
        let text = format!(
            "{}\r\nContent-Length: 2\r\n\r\nin",
            head.replace('\n', "\r\n")
        );
        self.0.write_all(text.as_bytes()).expect("sent");
    }

    /// Status of the next response.
    fn status(&mut self) -> u16 {
        let (head, _) = read_request(&mut self.0).expect("the connection is kept");
        let status = head.split(' ').nth(1).expect("status");
        status.parse().expect("status")
    }
}

/// Guards against requests that run without a valid key, against a body that is awaited
/// before the key is checked, and against upstreams that see a key or a forged account.
#[test]
fn only_requests_with_a_valid_key_reach_an_upstream() {
    let site = Site::start(1);
    let before = site.app.request_heads().len();
    let long = format!("Authorization: Bearer {}", "k".repeat(8 << 10));
    for refused in [
        "X-Other: 1",
        "Authorization: Bearer sk-unknown",
        "Authorization: Bearer sk-alpha-1\nAuthorization: Bearer sk-alpha-1",
        "Authorization: Basic sk-alpha-1",
        "Authorization: Bearer",
        "Authorization: sk-alpha-1",
        "Authorization: Bearer sk-alpha-1é",
        &long,
    ] {
        let got = site.answer("/read/1", refused);
        assert_eq!(got.status, 401, "{refused}");
        assert!(got.body.contains(r#""not_run":true"#) && got.head.contains("www-authenticate"));
    }
    let mut kept = Kept::open(site.gateway.fronts[0]);
    let head = site.head("/read/1", "Authorization: Basic x\nContent-Length: 50000");
    let text = format!("{}\r\n\r\n", head.replace('\n', "\r\n"));
    kept.0.write_all(text.as_bytes()).expect("sent");
    assert_eq!(kept.status(), 401, "no byte of the body was sent");
    assert_eq!(site.app.request_heads().len(), before);

    let forged = "Authorization: Bearer sk-alpha-1\nX-Sapphirequay-Tenant: beta";
    for (path, account) in [("/read/1", Some("alpha")), ("/open/1", None)] {
        assert_eq!(site.answer(path, forged).status, 200);
        let heads = site.app.request_heads();
        let seen = heads.last().expect("request");
        assert_eq!(header(seen, "x-sapphirequay-tenant"), account, "{seen}");
        assert_eq!(header(seen, "authorization"), None);
        assert!(
            !seen.contains("sk-alpha") && !seen.contains("beta"),
            "{seen}"
        );
    }
    assert_eq!(site.answer("/open/1", "X-Other: 1").status, 200);

    let document = TABLE.replace("VERSION", "9").replace("KEY", "sk-beta");
    let refused = site.put(&document).expect("response");
    assert_eq!(refused.status, 400);
    assert!(refused.body.contains("alpha") && refused.body.contains("beta"));
    assert!(!refused.body.contains("sk-"), "{}", refused.body);
    let metrics = send(site.gateway.monitor, "GET /metrics HTTP/1.1\nHost: m", "");
    let metrics = metrics.expect("metrics").body;
    assert!(metrics.contains(r#"sapphirequay_refusals_total{kind="key_malformed"}"#));
    // Lines are written some milliseconds after the response.
    let shown = wait_for("the decisions are logged", || {
        let logs = site.gateway.logs();
        let answered = logs.contains(r#"account="alpha" revision=3 control_age_ms="#);
        (answered && logs.contains("event=table_refused")).then_some(logs + &metrics)
    });
    assert!(!shown.contains("sk-"), "a key is in a log or in a metric");
}

/// Guards against keys that are looked up once for each connection, against requests
/// that run although their key was removed while they waited, and against a 401 for a
/// new key from a front that was paused while the key was added.
#[test]
fn keys_are_rotated_on_kept_alive_connections() {
    let site = Site::start(1);
    let mut kept = Kept::open(site.gateway.fronts[0]);
    let mut paused = Kept::open(site.gateway.fronts[1]);
    let head = |key: &str| site.head("/read/1", &format!("Authorization: Bearer {key}"));
    // Asked for its body, and so accepted with a key that is then removed.
    let mut waiting = Kept::open(site.gateway.fronts[0]);
    let expect = head("sk-alpha-1") + "\nExpect: 100-continue\nContent-Length: 2";
    let expect = format!("{}\r\n\r\n", expect.replace('\n', "\r\n"));
    waiting.0.write_all(expect.as_bytes()).expect("sent");
    assert_eq!(waiting.status(), 100);
    site.gateway.signal(Role::Front(1), "STOP");
    // Longer than a long poll, so that an answer from before the change waits for the front.
    thread::sleep(Duration::from_millis(600));
    site.put_table(4, "sk-alpha-2");
    let mut poll = |key: &str, expected: u16| {
        wait_for("the key is rotated", || {
            site.announce();
            kept.write(&head(key));
            let status = kept.status();
            assert!([200, 401, 503].contains(&status), "{status}");
            (status == expected).then_some(())
        });
    };
    poll("sk-alpha-2", 200);
    poll("sk-alpha-1", 401);
    poll("sk-beta", 200);
    let run = site.app.requests_run().len();
    waiting.0.write_all(b"in").expect("sent");
    let status = waiting.status();
    assert!([401, 503].contains(&status), "{status}");
    assert_eq!(site.app.requests_run().len(), run);
    // In all longer than the age from which a front may be out of date.
    thread::sleep(Duration::from_millis(950));
    paused.write(&head("sk-alpha-2"));
    site.gateway.signal(Role::Front(1), "CONT");
    wait_for("the paused front knows the key", || {
        let status = paused.status();
        assert!([200, 503].contains(&status), "{status} for a valid key");
        if status == 503 {
            paused.write(&head("sk-alpha-2"));
        }
        (status == 200).then_some(())
    });
    wait_for("the removed key is refused", || {
        paused.write(&head("sk-alpha-1"));
        (paused.status() == 401).then_some(())
    });
}

/// Guards against turns and budgets that two accounts share because they use the same
/// identifiers.
#[test]
fn turns_and_budgets_belong_to_an_account() {
    let site = Site::start(3);
    let (alpha, got) = site.turn("sk-alpha-1", "t", "", "alpha-1;");
    assert_eq!(got.status, 200);
    let (unused, got) = site.turn("sk-beta", "u", &alpha, "beta-1;");
    assert_eq!((got.status, &*unused), (404, "u-1"));
    let (beta, got) = site.turn("sk-beta", "t", "", "beta-2;");
    assert_eq!(got.status, 200);
    let last = || site.llm.requests_run().last().cloned().expect("request");
    assert_eq!(last(), "beta-2;");
    let (_, got) = site.turn("sk-alpha-1", "s", &alpha, "alpha-2;");
    assert_eq!(got.status, 200);
    assert!(last().starts_with("alpha-1;") && last().ends_with("alpha-2;"));
    assert!(!last().contains("beta"), "{}", last());
    // Both programs have used 40 of their 70 tokens; together they would exceed 70.
    let (_, got) = site.turn("sk-beta", "s", &beta, "beta-3;");
    assert_eq!(got.status, 200);
    assert!(last().starts_with("beta-2;") && !last().contains("alpha"));
}

/// Guards against a 401 from a front that hears nothing from control or has just
/// started, and against keys that such a front serves although it must not.
#[test]
fn a_front_that_may_be_out_of_date_answers_503() {
    let mut site = Site::start(1);
    site.gateway.terminate(Role::Front(1));
    site.gateway.front_settings = "strict_revoke = true\nrevoke_ms = 2000\n".into();
    site.gateway.run(Role::Front(1), false);
    site.wait_for_answer(1, "sk-alpha-1", 200, "done");
    site.wait_for_answer(0, "sk-unknown", 401, "key_unknown");
    for control in 0..3 {
        site.gateway.kill(Role::Control(control));
    }
    site.wait_for_answer(0, "sk-unknown", 503, "keys_outdated");
    site.wait_for_answer(1, "sk-alpha-1", 503, "keys_expired");
    site.wait_for_answer(0, "sk-alpha-1", 200, "done");
    for _ in 0..3 {
        let unknown = site.read(0, "Authorization: Bearer sk-unknown");
        assert_eq!(unknown.expect("response").status, 503);
    }
    site.gateway.kill(Role::Front(0));
    site.gateway.run(Role::Front(0), false);
    for key in ["sk-alpha-1", "sk-unknown"] {
        let mut statuses = Vec::new();
        wait_for("the front has started", || {
            let got = site.read(0, &format!("Authorization: Bearer {key}"))?;
            statuses.push(got.status);
            (statuses.len() == 3).then_some(())
        });
        assert_eq!(statuses, [503; 3]);
    }
}
