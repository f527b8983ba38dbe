//! Tests of callers that still send when their requests are refused.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, send},
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":1,"Routes":[
{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"SloMs":250,"Priority":1,"Service":"app","MaxAttempts":1,"Resumable":false},
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Number of parts in which a body is sent.
const PARTS: usize = 12;

/// Sends a request with a body of `part_bytes` in each of its parts, some time apart, and
/// only then reads. Returns the status of the response.
fn upload(addr: SocketAddr, head: &str, part_bytes: usize) -> String {
    let mut stream = TcpStream::connect(addr).expect("connection");
    let (head, part) = (head.replace('\n', "\r\n"), vec![b'x'; part_bytes]);
    let text = format!("{head}\r\nContent-Length: {}\r\n\r\n", PARTS * part_bytes);
    stream.write_all(text.as_bytes()).expect("head");
    for number in 0..PARTS {
        if let Err(err) = stream.write_all(&part) {
            return format!("part {number} is not sent: {err}");
        }
        thread::sleep(Duration::from_millis(200));
    }
    let mut got = [0; 12];
    match stream.read_exact(&mut got) {
        Ok(()) => String::from_utf8_lossy(&got[9..]).into_owned(),
        Err(err) => err.to_string(),
    }
}

fn call(path: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {}{more}",
        path.replace('/', "-")
    )
}

/// Guards against a refusal that is lost, since the connection was reset while the caller
/// still sent a body that nobody had begun to read.
#[test]
fn a_caller_that_still_sends_gets_a_refusal_that_came_before_its_body_was_read() {
    let gateway = Gateway::start(0);
    let (front, control) = (gateway.fronts[0], gateway.controls[0]);
    let waits = call("/read/early", "\nX-Sapphirequay-Deadline-Ms: 300");
    assert_eq!(upload(front, &waits, 20_000), "503", "without a table");
    let began = Instant::now();
    let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
    while send(control, head, TABLE).is_none_or(|got| got.status != 200)
        || send(front, &call("/gone/1", ""), "").is_none_or(|got| got.status != 404)
    {
        assert!(began.elapsed() < WAIT_TIMEOUT, "the table is not in force");
        thread::sleep(Duration::from_millis(100));
    }
    let resumed = "\nLast-Event-Id: 3\nX-Sapphirequay-Resumes: r1";
    let cases = [
        (front, call("/gone/2", ""), 20_000, "404"),
        (
            front,
            "POST /read/2 HTTP/1.1\nHost: a.example".to_owned(),
            20_000,
            "400",
        ),
        (front, call("/chat/3", resumed), 20_000, "503"),
        (control, head.to_owned(), 1_500_000, "413"),
    ];
    let uploads = cases.map(|(addr, head, bytes, status)| {
        thread::spawn(move || (upload(addr, &head, bytes), status, head))
    });
    for upload in uploads {
        let (got, status, head) = upload.join().expect("an upload");
        assert_eq!(got, status, "{head}");
    }
}
