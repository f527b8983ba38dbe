//! A front within its memory: callers and upstreams that read slowly, and large bodies
//! on all connections.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Response, Role, header, parse, send},
    socket2::SockRef,
    std::{
        io::{Read, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":60000,"SloMs":250,"Priority":1,"Service":"s","MaxAttempts":1},
{"Name":"plain","Host":"a.example","PathPrefix":"/plain/","Kind":"unsafe","TimeoutMs":60000,"SloMs":60,"Priority":1,"Service":"s","MaxAttempts":1}],
"Services":[{"Name":"s","MaxConns":1000,"Engine":{"Slots":1000,"KvCapacity":1000}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_mins(2);

/// Memory of the front in MB; its budget is 20 MB.
const MEMORY_MB: u64 = 60;

/// Events of a stream for a slow reader, and bytes of each.
const EVENTS: usize = 4_000;
const EVENT_BYTES: usize = 1_024;

fn event(number: usize) -> String {
    let mut text = format!("data: {number} ");
    text.extend(std::iter::repeat_n('x', EVENT_BYTES - 2 - text.len()));
    text + "\n\n"
}

fn whole_stream(events: usize) -> String {
    (0..events).map(event).collect()
}

/// Body whose content depends on its number.
fn large_body(number: usize) -> String {
    let unit = format!("body {number:06} ");
    unit.repeat(4_000_000 / unit.len())
}

/// An upstream that streams events as fast as it can, and reads bodies in pieces with
/// pauses. It aborts a response that stays unread.
#[derive(Clone)]
struct Upstream {
    addr: SocketAddr,
    /// Bodies of requests that were run.
    ran: Arc<Mutex<Vec<String>>>,
    /// Whether responses to requests with the body `hold` are held back.
    holding: Arc<AtomicBool>,
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
        let upstream = Self {
            addr: listener.local_addr().expect("address"),
            ran: Arc::default(),
            holding: Arc::new(AtomicBool::new(true)),
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

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut got = Vec::new();
        let mut buf = vec![0; 512 << 10];
        let (head, start) = loop {
            let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
            got.extend_from_slice(&buf[..len]);
            if let Some(end) = got.windows(4).position(|it| it == b"\r\n\r\n") {
                break (String::from_utf8(got[..end].to_vec()).ok()?, end + 4);
            }
        };
        let wanted = start + header(&head, "content-length")?.parse::<usize>().ok()?;
        while got.len() < wanted {
            thread::sleep(Duration::from_millis(20));
            let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
            got.extend_from_slice(&buf[..len]);
        }
        let body = String::from_utf8(got.split_off(start)).ok()?;
        let id = header(&head, "x-sapphirequay-request-id")?;
        let common = format!(
            "x-sapphirequay-request-id: {id}\r\nx-sapphirequay-response-seal: s\r\nconnection: close\r\n"
        );
        stream
            .set_write_timeout(Some(Duration::from_secs(5)))
            .ok()?;
        if head.starts_with("POST /chat/") {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{common}transfer-encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).ok()?;
            for number in 0..body.parse().ok()? {
                let chunk = format!("{EVENT_BYTES:x}\r\n{}\r\n", event(number));
                stream.write_all(chunk.as_bytes()).ok()?;
            }
            return stream.write_all(b"0\r\n\r\n").ok();
        }
        let len = body.len();
        let holds = body == "hold";
        self.ran.lock().expect("lock").push(body);
        while holds && self.holding.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        let text = format!("HTTP/1.1 200 OK\r\n{common}content-length: 8\r\n\r\n{len:08}");
        stream.write_all(text.as_bytes()).ok()
    }
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn head(path: &str, id: &str) -> String {
    format!("POST {path} HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}")
}

/// A gateway with memory settings, and one upstream that it serves.
fn start() -> (Gateway, Upstream, SocketAddr) {
    let gateway = Gateway::start_with(3, &format!("memory_mb = {MEMORY_MB}"));
    let upstream = Upstream::start();
    let control = gateway.controls[0];
    wait_until("the table is not accepted", || {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(control, head, TABLE).is_some_and(|got| got.status == 200)
    });
    let addr = upstream.addr;
    // Ends with the process of the test.
    thread::spawn(move || {
        for sequence in 1.. {
            let body = format!(
                r#"{{"Service":"s","Address":"{addr}","Zone":"dc-1","Version":"v1","Slots":1000,"State":"ready","Seq":{sequence},"born":5}}"#
            );
            let head = "POST /sapphirequay/instances/s-1/heartbeat HTTP/1.1\nHost: c";
            let _ = send(control, head, &body);
            thread::sleep(Duration::from_millis(500));
        }
    });
    let front = gateway.fronts[0];
    wait_until("the upstream is not served", || {
        send(front, &head("/chat/1", "first"), "1").is_some_and(|got| got.status == 200)
    });
    (gateway, upstream, front)
}

fn assert_within_memory(gateway: &Gateway) {
    let peak = gateway.peak_memory(Role::Front(0));
    println!("peak memory {} kB", peak >> 10);
    assert!(peak < MEMORY_MB * 1_000_000, "peak memory {peak}");
}

/// Reads a stream at 1 kB/s until `finish` is set, then the rest. Returns what came.
fn read_slowly(front: SocketAddr, number: usize, finish: &AtomicBool) -> Option<Response> {
    let mut stream = TcpStream::connect(front).ok()?;
    let small = SockRef::from(&stream).set_recv_buffer_size(4_096);
    small.expect("receive buffer");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    let head = head("/chat/1", &format!("slow-{number}")).replace('\n', "\r\n");
    let body = EVENTS.to_string();
    let len = body.len();
    let text = format!("{head}\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let (mut got, mut buf) = (Vec::new(), [0; 256]);
    while !finish.load(Ordering::SeqCst) {
        match stream.read(&mut buf) {
            Ok(len) if len > 0 => got.extend_from_slice(&buf[..len]),
            _ => break,
        }
        thread::sleep(Duration::from_millis(250));
    }
    let large = SockRef::from(&stream).set_recv_buffer_size(1 << 20);
    large.expect("receive buffer");
    let _ = stream.read_to_end(&mut got);
    parse(&String::from_utf8(got).ok()?)
}

/// Guards against a front that holds whole streams for slow readers until it is
/// killed, that lets ordinary callers wait for them, or that ends a stream early in a
/// way that looks complete.
#[test]
fn slow_readers_are_disconnected_before_the_memory_of_a_front_is_full() {
    const SLOW: usize = 100;
    let (gateway, _upstream, front) = start();
    let finish = Arc::new(AtomicBool::new(false));
    let slow = (0..SLOW).map(|number| {
        let finish = Arc::clone(&finish);
        thread::spawn(move || read_slowly(front, number, &finish))
    });
    let slow: Vec<_> = slow.collect();
    let expected = whole_stream(200);
    let metric = "sapphirequay_readers_disconnected_total ";
    let mut calls = 0;
    wait_until("no reader is disconnected", || {
        let got = send(front, &head("/chat/1", &format!("call-{calls}")), "200");
        let got = got.expect("an answer");
        assert!(got.complete && got.body == expected, "call {calls}");
        calls += 1;
        let metrics = send(gateway.monitor, "GET /metrics HTTP/1.1\nHost: m", "");
        metrics.is_some_and(|it| it.body.lines().any(|line| line.starts_with(metric)))
    });
    finish.store(true, Ordering::SeqCst);
    let expected = whole_stream(EVENTS);
    let (mut whole, mut cut) = (0, 0);
    for reader in slow {
        match reader.join().expect("no panic") {
            Some(got) if got.complete => {
                assert_eq!(got.status, 200);
                assert!(got.body == expected, "a changed stream looks complete");
                whole += 1;
            }
            Some(got) => {
                assert!(expected.starts_with(&got.body), "a changed part");
                cut += 1;
            }
            None => cut += 1,
        }
    }
    println!("ordinary calls {calls}, slow readers whole {whole}, cut {cut}");
    assert!(cut > 0);
    assert_within_memory(&gateway);
}

/// Sends a body, as chunks without a declared length if `chunked`. Without an answer it
/// returns what went wrong.
fn upload(front: SocketAddr, id: &str, body: &str, chunked: bool) -> Result<Response, String> {
    let mut stream = TcpStream::connect(front).map_err(|err| format!("connect: {err}"))?;
    let limited = stream.set_read_timeout(Some(WAIT_TIMEOUT));
    limited.expect("time-out");
    let head = head("/plain/1", id).replace('\n', "\r\n");
    let coding = if chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {}", body.len())
    };
    let mut send = |what: &str, data: &[u8]| {
        let sent = stream.write_all(data);
        sent.map_err(|err| format!("{what}: {err}"))
    };
    let head = format!("{head}\r\nConnection: close\r\n{coding}\r\n\r\n");
    send("head", head.as_bytes())?;
    if chunked {
        for (number, chunk) in body.as_bytes().chunks(50_000).enumerate() {
            let what = format!("chunk {number}");
            send(&what, format!("{:x}\r\n", chunk.len()).as_bytes())?;
            send(&what, chunk)?;
            send(&what, b"\r\n")?;
        }
        send("last chunk", b"0\r\n\r\n")?;
    } else {
        send("body", body.as_bytes())?;
    }
    let mut got = Vec::new();
    let ended = stream.read_to_end(&mut got);
    let text = String::from_utf8(got).map_err(|err| err.to_string())?;
    parse(&text).ok_or_else(|| format!("no answer: {ended:?}"))
}

/// Guards against a front that is killed by bodies in transit to an upstream that
/// reads slowly, and against refusals that are not true.
#[test]
fn the_largest_bodies_on_all_connections_arrive_whole_or_are_refused_unrun() {
    const CALLS: usize = 40;
    let (gateway, upstream, front) = start();
    let refused = Arc::new(AtomicUsize::new(0));
    let calls = (0..CALLS).map(|number| {
        let refused = Arc::clone(&refused);
        thread::spawn(move || {
            let body = large_body(number);
            let began = Instant::now();
            for attempt in 0.. {
                assert!(began.elapsed() < WAIT_TIMEOUT, "{number} is not served");
                let id = format!("up-{number}-{attempt}");
                let got = upload(front, &id, &body, number % 2 == 1);
                let got = got.unwrap_or_else(|cause| {
                    panic!("an answer, also to a refused body: {number}-{attempt}, {cause}")
                });
                if got.status == 200 {
                    assert_eq!(got.body, format!("{:08}", body.len()));
                    return;
                }
                assert_eq!(got.status, 503, "{got:?}");
                let expected = r#"{"error":{"kind":"no_memory","not_run":true}}"#;
                assert_eq!(got.body, expected);
                refused.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(250));
            }
        })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        call.join().expect("no panic");
    }
    let mut ran = upstream.ran.lock().expect("lock").clone();
    ran.sort();
    let sent: Vec<String> = (0..CALLS).map(large_body).collect();
    assert!(ran == sent, "a body is changed, lost or run twice");
    assert_within_memory(&gateway);
    let refused = refused.load(Ordering::SeqCst);
    println!("refused {refused}");
    assert!(refused > 0);
}
