//! Tests of conversations that are larger than a reply of a store, or than the memory of a
//! front, or that have very many turns.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Response, Role, header, send},
    std::{
        io::{Read as _, Write as _},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":60000,"SloMs":250,"Priority":1,"Service":"llm","MaxAttempts":1,"Retain":true,"RetentionS":60.0}],
"Services":[{"Name":"llm","MaxConns":100,"Engine":{"Slots":16,"StrideTokens":10}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_mins(3);

/// What the upstream's answer adds to a conversation.
const OUTPUT: &[u8] = b"event\n";

/// Memory of a store, in MB.
const STORE_MB: u64 = 130;

/// Size of the large inputs, in bytes.
const LARGE: usize = 4_000_000;

/// An upstream that keeps the digest of each conversation.
#[derive(Clone)]
struct Upstream {
    addr: SocketAddr,
    /// Ids of requests that were run, with the length and the digest of each body.
    ran: Arc<Mutex<Vec<(String, usize, u64)>>>,
}

/// Adds bytes to a digest.
fn digest(seed: u64, bytes: &[u8]) -> u64 {
    let add = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(seed, add)
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
        let upstream = Self {
            addr: listener.local_addr().expect("address"),
            ran: Arc::default(),
        };
        let shared = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        upstream
    }

    /// Answers one request, if it arrives whole, and closes the connection.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut buf = vec![0; 256 << 10];
        let mut got = Vec::new();
        let end = loop {
            let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
            got.extend_from_slice(&buf[..len]);
            if let Some(end) = got.windows(4).position(|it| it == b"\r\n\r\n") {
                break end;
            }
        };
        let head = String::from_utf8(got[..end].to_vec()).ok()?;
        let id = header(&head, "x-sapphirequay-request-id")?;
        let wanted: usize = header(&head, "content-length")?.parse().ok()?;
        let body = &got[end + 4..];
        let (mut read, mut hash) = (body.len(), digest(0, body));
        while read < wanted {
            let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
            hash = digest(hash, &buf[..len]);
            read += len;
        }
        let run = (id.to_owned(), read, hash);
        self.ran.lock().expect("lock").push(run);
        let event = "id: 1\ndata: event\n\n";
        let text = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-sapphirequay-request-id: {id}\r\n\
             x-sapphirequay-response-seal: s\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
             {:x}\r\n{event}\r\n0\r\n\r\n",
            event.len()
        );
        stream.write_all(text.as_bytes()).ok()
    }
}

/// Gateway with one upstream.
struct Site {
    gateway: Gateway,
    callers: Callers,
}

/// Callers of a gateway.
#[derive(Clone)]
struct Callers {
    fronts: Vec<SocketAddr>,
    control: SocketAddr,
    upstream: Upstream,
    sent: Arc<AtomicU64>,
}

/// A conversation as the next turn must carry it on.
#[derive(Default)]
struct Conversation {
    prior: Option<String>,
    bytes: usize,
    digest: u64,
}

impl Site {
    fn start(stores: usize, front_settings: &str) -> Self {
        let mut gateway = Gateway::prepare(stores, front_settings);
        gateway.store_settings = format!("memory_mb = {STORE_MB}");
        gateway.run_all();
        let site = Self {
            callers: Callers {
                fronts: gateway.fronts.clone(),
                control: gateway.controls[1],
                upstream: Upstream::start(),
                sent: Arc::default(),
            },
            gateway,
        };
        let put = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        wait_for("the table is accepted", || {
            let got = send(site.gateway.controls[0], put, TABLE)?;
            (got.status == 200).then_some(())
        });
        site
    }
}

impl Callers {
    fn next(&self) -> u64 {
        self.sent.fetch_add(1, Ordering::Relaxed)
    }

    fn announce(&self) {
        let head = "POST /sapphirequay/instances/llm-1/heartbeat HTTP/1.1\nHost: c";
        let body = format!(
            r#"{{"Service":"llm","Address":"{}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{},"born":5}}"#,
            self.upstream.addr,
            self.next()
        );
        let _ = send(self.control, head, &body);
    }

    /// Sends a turn that goes on from `talk` until it is answered whole, and checks that the
    /// upstream got the conversation.
    fn turn(&self, front: usize, program: &str, talk: &mut Conversation, input: &str) {
        wait_for("the turn is answered", || {
            self.announce();
            let id = format!("t{}", self.next());
            let mut head = format!(
                "POST /chat/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Program-Id: {program}\n\
                 X-Sapphirequay-Token-Usage: 5,30\nX-Sapphirequay-Deadline-Ms: 60000"
            );
            if let Some(prior) = &talk.prior {
                head = format!("{head}\nX-Sapphirequay-Previous-Turn: {prior}");
            }
            let got: Response = send(self.fronts[front], &head, input)?;
            assert_ne!(got.status, 404, "{}", got.body);
            if got.status != 200 || !got.complete {
                return None;
            }
            let bytes = talk.bytes + input.len();
            let hash = digest(talk.digest, input.as_bytes());
            let ran = self.upstream.ran.lock().expect("lock");
            let run = ran.iter().find(|(it, ..)| *it == id).expect("a run");
            assert_eq!((run.1, run.2), (bytes, hash), "the conversation of {id}");
            talk.prior = Some(id);
            talk.bytes = bytes + OUTPUT.len();
            talk.digest = digest(hash, OUTPUT);
            Some(())
        });
    }
}

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

/// Input of a turn.
fn input(turn: usize, bytes: usize) -> String {
    let letter = char::from(b'a' + u8::try_from(turn % 26).expect("small"));
    letter.to_string().repeat(bytes)
}

/// Guards against a conversation that is accepted turn by turn and can't be continued once it
/// is larger than a reply of a store, and against one that takes a front's memory.
#[test]
fn a_conversation_larger_than_a_reply_goes_on_at_every_front() {
    let mut site = Site::start(3, "memory_mb = 110");
    let mut talk = Conversation::default();
    for turn in 0..9 {
        site.callers.turn(0, "p", &mut talk, &input(turn, LARGE));
    }
    site.gateway.kill(Role::Store(0));
    for front in [1, 0] {
        site.callers.turn(front, "p", &mut talk, "next");
    }
    for front in 0..2 {
        let peak = site.gateway.peak_memory(Role::Front(front));
        assert!(peak < 110 << 20, "front {front} held {peak} bytes");
    }
}

/// Guards against a program that can't go on from a long conversation of another program,
/// whose turns are on other stores.
#[test]
fn another_program_goes_on_from_a_conversation_larger_than_a_request() {
    let site = Site::start(6, "memory_mb = 110");
    let mut talk = Conversation::default();
    for turn in 0..9 {
        site.callers.turn(0, "p", &mut talk, &input(turn, LARGE));
    }
    wait_for("a program goes on whose stores are others", || {
        let program = format!("q{}", site.callers.next());
        let mut branch = Conversation {
            prior: talk.prior.clone(),
            ..talk
        };
        site.callers.turn(1, &program, &mut branch, "next");
        site.gateway
            .logs()
            .contains("event=turns_adopted")
            .then_some(())
    });
}

/// Guards against a chain with more turns than a list has, and many that fit into one page.
#[test]
fn a_conversation_of_very_many_turns_goes_on() {
    let site = Site::start(3, "chain_cache_bytes = 0");
    let mut talk = Conversation::default();
    for turn in 0..1_100 {
        site.callers
            .turn(turn % 2, "p", &mut talk, &input(turn, 100));
    }
}

/// Guards against stores that take more than their memory while many long turns are stored and
/// read at a time (review, case 14).
#[test]
fn bursts_of_large_turns_leave_the_stores_within_their_memory() {
    let site = Site::start(3, "");
    let programs: Vec<_> = (0..24)
        .map(|program| {
            let callers = site.callers.clone();
            thread::spawn(move || {
                let mut talk = Conversation::default();
                for turn in 0..4 {
                    let name = format!("p{program}");
                    callers.turn(turn % 2, &name, &mut talk, &input(turn, LARGE));
                }
            })
        })
        .collect();
    for program in programs {
        program.join().expect("all turns are answered");
    }
    for store in 0..3 {
        let peak = site.gateway.peak_memory(Role::Store(store));
        assert!(peak < STORE_MB << 20, "store {store} held {peak} bytes");
    }
}
