//! Streams that break off and are resumed, at an engine that answers the resumption with
//! anything.

mod common;

use {
    common::{Daemons, KEY, any_port, completion, connect, exchange, sidecar_for_engine},
    sapphirequayd::{EntrySettings, SidecarSettings},
    std::{
        io::{BufRead as _, BufReader, Read as _, Write as _},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
    },
};

/// Text that only the engine's error responses contain.
const ENGINE_TEXT: &str = "engine-text";

/// What the engine writes, and whether it ends the body properly.
#[derive(Debug, Clone)]
struct Script {
    /// Bytes that it writes to a new request before it closes the connection.
    begin: String,
    /// The same for a request that resumes the stream.
    resume: String,
    /// The same for the requests after that, if it differs.
    resume_again: Option<String>,
}

fn event(number: u64) -> String {
    format!(
        "id: {number}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"w{number} \"}}}}]}}\n\n"
    )
}

fn end(tokens: u64) -> String {
    format!(
        "id: {tokens}\ndata: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n"
    )
}

/// A stream without a length, which ends with its connection.
fn stream(events: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{events}")
}

fn response(status: &str, headers: &str) -> String {
    let len = ENGINE_TEXT.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\n\r\n{ENGINE_TEXT}")
}

/// Starts an engine that answers as the script says.
fn start_engine(script: Arc<Mutex<Script>>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("listener");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = Arc::clone(&script);
            thread::spawn(move || answer(stream, &script));
        }
    });
    addr
}

fn answer(stream: TcpStream, script: &Mutex<Script>) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let (mut head, mut len) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let at = head.len();
        reader.read_line(&mut head).ok().filter(|read| *read > 0)?;
        let line = head[at..].to_lowercase();
        if let Some(text) = line.strip_prefix("content-length:") {
            len = text.trim().parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; len]).ok()?;
    let text = if head.starts_with("POST ") {
        script.lock().expect("lock").begin.clone()
    } else if head.starts_with("GET /v1/streams/") {
        let mut script = script.lock().expect("lock");
        let next = script.resume_again.take();
        let next = next.unwrap_or_else(|| script.resume.clone());
        std::mem::replace(&mut script.resume, next)
    } else {
        // A cancellation or a probe.
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned()
    };
    reader.get_mut().write_all(text.as_bytes()).ok()
}

/// An entry before one upstream, whose script is replaced by each case.
struct Site {
    daemons: Daemons,
    script: Arc<Mutex<Script>>,
    path: &'static str,
}

impl Site {
    /// An entry before an engine.
    fn start() -> Self {
        Self::start_with("/v1/chat/completions", sidecar_for_engine)
    }

    /// An entry before a plain service.
    fn start_service() -> Self {
        Self::start_with("/v1/services/tool", |addr| SidecarSettings {
            models: Vec::new(),
            service: Some("tool".into()),
            ..sidecar_for_engine(addr)
        })
    }

    fn start_with(path: &'static str, sidecar: fn(SocketAddr) -> SidecarSettings) -> Self {
        let whole = stream(&format!("{}{}", event(1), end(1)));
        let script = Arc::new(Mutex::new(Script {
            begin: whole.clone(),
            resume: whole,
            resume_again: None,
        }));
        let engine = start_engine(Arc::clone(&script));
        let daemons = Daemons::start(sidecar(engine), EntrySettings::default());
        Self {
            daemons,
            script,
            path,
        }
    }

    /// Sends a completion until the engine has a place for it. Returns the response as
    /// it was sent.
    fn call(&self, begin: String, resume: String) -> String {
        self.call_as(&completion(true), begin, resume)
    }

    fn call_as(&self, body: &str, begin: String, resume: String) -> String {
        let script = Script {
            begin,
            resume,
            resume_again: None,
        };
        self.call_by(script, "", body)
    }

    /// Sends a call with further header lines to an engine that answers by a script.
    fn call_by(&self, script: Script, headers: &str, body: &str) -> String {
        *self.script.lock().expect("lock") = script;
        let mut response = String::new();
        common::wait_for("the engine is used", || {
            let request = format!(
                "POST {} HTTP/1.1\r\nhost: e\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n{headers}\
                 content-length: {}\r\n\r\n{body}",
                self.path,
                body.len()
            );
            let mut stream = connect(self.daemons.addr());
            response = exchange(&mut stream, request.as_bytes());
            !response.starts_with("HTTP/1.1 503")
        });
        response
    }
}

/// Texts of the deltas in a chunked response.
fn text_of(response: &str) -> String {
    let deltas = response.split(r#""content":""#).skip(1);
    deltas.filter_map(|rest| rest.split('"').next()).collect()
}

/// Whether a response is framed as complete.
fn is_framed_whole(response: &str) -> bool {
    response.ends_with("\r\n0\r\n\r\n")
}

/// Guards against an engine's error text in the middle of a caller's stream, and against
/// a broken stream that is framed as complete.
#[test]
fn a_refused_resumption_breaks_the_stream_without_the_engines_text() {
    let site = Site::start();
    let begin = stream(&[event(1), event(2), event(3)].concat());
    for resume in [
        response("500 Failed", ""),
        response("503 Full", "retry-after: 1\r\n"),
        response("429 Later", ""),
        response("421 Other", ""),
        response("400 Bad", ""),
        response("404 Unknown", ""),
        response("302 Found", "location: /elsewhere\r\n"),
        response("200 OK", "content-type: text/plain\r\n"),
        stream(""),
        stream("id: 4\ndata: {\"choi"),
        stream("data: engine-text\n\n"),
        "HTTP/1.1 200 OK\r\ncontent-ty".to_owned(),
        String::new(),
    ] {
        let got = site.call(begin.clone(), resume.clone());
        assert!(got.starts_with("HTTP/1.1 200"), "{resume:?}: {got}");
        assert!(text_of(&got).starts_with("w1 w2 w3 "), "{resume:?}: {got}");
        assert!(!got.contains(ENGINE_TEXT), "{resume:?}: {got}");
        assert!(got.contains("event: error"), "{resume:?}: {got}");
        assert!(
            got.contains(r#""kind":"upstream_lost""#),
            "{resume:?}: {got}"
        );
        assert!(!is_framed_whole(&got), "{resume:?}: {got}");
        assert!(!got.contains("[DONE]"), "{resume:?}: {got}");
        let json = site.call_as(&completion(false), begin.clone(), resume.clone());
        assert!(json.starts_with("HTTP/1.1 502"), "{resume:?}: {json}");
        assert!(!json.contains(ENGINE_TEXT), "{resume:?}: {json}");
        assert!(!json.contains("w1"), "{resume:?}: {json}");
    }
}

/// Guards against a cut line that is taken for a whole one: the stream failed although
/// the engine would have gone on.
#[test]
fn a_stream_that_is_cut_anywhere_is_resumed() {
    let site = Site::start();
    let events: String = (1..=12).map(event).collect();
    let resumed = |from: u64| {
        let rest: String = (from..=12).map(event).collect();
        stream(&format!("{rest}{}", end(12)))
    };
    let expected = "w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 w11 w12 ";
    let last = events.rfind("id: 12").expect("the last event");
    // Within the id, after it, within the data, before each of the last line ends.
    for cut in [
        last + 5,
        last + 6,
        last + 7,
        last + 20,
        events.len() - 2,
        events.len() - 1,
    ] {
        let got = site.call(stream(&events[..cut]), resumed(12));
        assert_eq!(text_of(&got), expected, "cut at {cut}: {got}");
        assert!(is_framed_whole(&got), "cut at {cut}: {got}");
        assert!(got.contains("[DONE]"), "cut at {cut}: {got}");
    }
}

/// Guards against a recorded answer that lacks what came before a stream was resumed.
#[test]
fn a_resend_gets_the_whole_text_of_a_stream_that_broke_twice() {
    let site = Site::start();
    let part = |from: u64, to: u64| (from..=to).map(event).collect::<String>();
    let expected = "w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 w11 w12 ";
    // The last one breaks off after its last token, before its end.
    for second_break in [5, 12] {
        let script = Script {
            begin: stream(&part(1, 3)),
            resume: stream(&part(4, second_break)),
            resume_again: Some(stream(&format!(
                "{}{}",
                part(second_break + 1, 12),
                end(12)
            ))),
        };
        let headers = format!("idempotency-key: broken-after-{second_break}\r\n");
        let body = completion(true);
        let got = site.call_by(script.clone(), &headers, &body);
        assert_eq!(text_of(&got), expected, "{got}");
        // The engine would answer otherwise now.
        let other = Script {
            begin: response("500 Failed", ""),
            ..script
        };
        let again = site.call_by(other, &headers, &body);
        assert_eq!(text_of(&again), expected, "{again}");
        assert!(is_framed_whole(&again), "{again}");
    }
}

/// Guards against an engine's text in the error of a stream that has not begun.
#[test]
fn an_engine_that_answers_with_an_error_fails_the_call_with_its_status_only() {
    let site = Site::start();
    for begin in [
        response("500 Failed", ""),
        response("400 Bad", ""),
        response("302 Found", "location: /elsewhere\r\n"),
        response("200 OK", "content-type: text/plain\r\n"),
    ] {
        let got = site.call(begin.clone(), String::new());
        assert!(got.starts_with("HTTP/1.1 502"), "{begin:?}: {got}");
        assert!(
            got.contains(r#""kind":"upstream_error""#),
            "{begin:?}: {got}"
        );
        assert!(!got.contains(ENGINE_TEXT), "{begin:?}: {got}");
    }
}

/// Guards against a service's response that is cut and reaches the caller as a whole one.
#[test]
fn a_service_response_that_is_cut_is_not_passed_on() {
    let site = Site::start_service();
    let sized = response("200 OK", "content-type: application/json\r\n");
    let chunked =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nb\r\nengine-text\r\n0\r\n\r\n";
    for whole in [&*sized, chunked] {
        let got = site.call_as("{}", whole.to_owned(), String::new());
        assert!(got.starts_with("HTTP/1.1 200"), "{whole:?}: {got}");
        assert!(got.ends_with(ENGINE_TEXT), "{whole:?}: {got}");
        let head = whole.find("\r\n\r\n").expect("a head");
        let body = whole.find(ENGINE_TEXT).expect("a body");
        let cuts = [8, 12, 15, 17, 30, head - 1, head, head + 2, head + 4];
        // The last chunk is missing, or its last line end.
        let ends = [
            body + 4,
            whole.len() - usize::from(whole == chunked) * 2 - 1,
        ];
        for cut in cuts.into_iter().chain(ends) {
            let got = site.call_as("{}", whole[..cut].to_owned(), String::new());
            assert!(
                got.starts_with("HTTP/1.1 502"),
                "{:?}: {got}",
                &whole[..cut]
            );
            assert!(!got.contains(ENGINE_TEXT), "{:?}: {got}", &whole[..cut]);
        }
    }
}

/// Guards against an answer whose status ends no request.
#[test]
fn a_service_response_with_a_status_that_ends_no_request_is_not_passed_on() {
    let site = Site::start_service();
    for status in ["000", "099", "101", "600", "999"] {
        let odd = response(
            &format!("{status} Odd"),
            "content-type: application/json\r\n",
        );
        let got = site.call_as("{}", odd, String::new());
        assert!(got.starts_with("HTTP/1.1 502"), "{status}: {got}");
        assert!(!got.contains(ENGINE_TEXT), "{status}: {got}");
    }
}
