//! Callers that send invalid, oversized or incomplete requests, or never read.

mod common;

use {
    common::{
        Daemons, KEY, WAIT_TIMEOUT, completion, connect, engine, exchange, get, post, post_once,
        sidecar_for_engine, wait_for,
    },
    quay_standin::{Engine, EngineSettings},
    sapphirequayd::EntrySettings,
    std::{
        io::{Read as _, Write as _},
        thread,
        time::Duration,
    },
};

/// Time-outs short enough for a test, in milliseconds.
const SHORT_MS: u64 = 300;

fn start(engine_settings: EngineSettings, entry: EntrySettings) -> (Daemons, Engine) {
    let engine = engine(engine_settings);
    let daemons = Daemons::start(sidecar_for_engine(engine.addr()), entry);
    (daemons, engine)
}

fn short_timeouts() -> EntrySettings {
    EntrySettings {
        read_timeout_ms: SHORT_MS,
        send_timeout_ms: SHORT_MS,
        ..EntrySettings::default()
    }
}

/// Head of a completion request with the account's key and the given header
/// lines.
fn raw_post(headers: &str) -> Vec<u8> {
    format!("POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n{headers}\r\n")
        .into_bytes()
}

#[test]
fn invalid_requests_get_a_specific_error() {
    let (daemons, _engine) = start(EngineSettings::default(), EntrySettings::default());
    let messages = r#""messages":[{"role":"user","content":"hi"}]"#;
    let cases = [
        (KEY, "{".to_owned(), 400, "bad_request"),
        (
            KEY,
            r#"{"model":"m","messages":[]}"#.to_owned(),
            400,
            "bad_request",
        ),
        (
            KEY,
            format!(r#"{{"model":"m","max_tokens":-5,{messages}}}"#),
            400,
            "bad_request",
        ),
        (
            KEY,
            format!(r#"{{"model":"m","max_tokens":0,{messages}}}"#),
            400,
            "bad_request",
        ),
        (
            KEY,
            format!(r#"{{"model":"no-such",{messages}}}"#),
            404,
            "unknown_model",
        ),
        ("wrong", completion(true), 401, "unauthorized"),
    ];
    for (key, body, status, kind) in cases {
        let (actual, text) = post_once(daemons.addr(), key, &body);
        assert_eq!(actual, status, "{text}");
        assert!(text.contains(&format!(r#""kind":"{kind}""#)), "{text}");
        assert!(text.contains(r#""not_run":true"#), "{text}");
    }
}

#[test]
fn unknown_paths_and_methods_get_different_errors() {
    let (daemons, _engine) = start(EngineSettings::default(), EntrySettings::default());
    let (status, text) = get(daemons.addr(), "/v1/chat/completions");
    assert_eq!((status, text.contains("method_not_allowed")), (405, true));
    let (status, text) = get(daemons.addr(), "/nowhere");
    assert_eq!((status, text.contains("not_found")), (404, true));
}

#[test]
fn requests_are_numbered_and_counted() {
    let (daemons, _engine) = start(EngineSettings::default(), EntrySettings::default());
    let number = || {
        let response = ureq::get(&format!("http://{}/healthz", daemons.addr())).call();
        let response = response.expect("response");
        let number = response.header("sapphirequay-request").expect("number");
        number.parse::<u64>().expect("numeric request number")
    };
    let first = number();
    assert!(number() > first);
    let (status, text) = get(daemons.addr(), "/metrics");
    assert_eq!(status, 200);
    assert!(text.contains("sapphirequay_requests_total{"), "{text}");
}

#[test]
fn one_connection_serves_several_requests() {
    let (daemons, _engine) = start(EngineSettings::default(), short_timeouts());
    let mut stream = connect(daemons.addr());
    let req = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    let text = exchange(&mut stream, format!("{req}{req}").as_bytes());
    assert_eq!(text.matches(r#""status":"ok""#).count(), 2, "{text}");
}

#[test]
fn a_large_body_is_refused_before_it_is_read() {
    let (daemons, _engine) = start(EngineSettings::default(), EntrySettings::default());
    let mut stream = connect(daemons.addr());
    // No byte of the body is sent: the announced length is enough.
    let head = raw_post(&format!("content-length: {}\r\n", 20 << 20));
    stream.write_all(&head).expect("head");
    let mut response = [0; 64];
    let read = stream.read(&mut response).expect("response");
    let text = String::from_utf8_lossy(&response[..read]).into_owned();
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
}

#[test]
fn a_large_body_without_a_length_is_refused() {
    let settings = EntrySettings {
        max_body_bytes: 1_000,
        ..short_timeouts()
    };
    let (daemons, _engine) = start(EngineSettings::default(), settings);
    let mut stream = connect(daemons.addr());
    let mut req = raw_post("transfer-encoding: chunked\r\n");
    req.extend_from_slice(b"4000\r\n");
    req.extend_from_slice(&[b'x'; 0x4000]);
    let text = exchange(&mut stream, &req);
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

#[test]
fn a_content_length_beyond_memory_does_not_crash_the_process() {
    let (daemons, _engine) = start(EngineSettings::default(), short_timeouts());
    let mut stream = connect(daemons.addr());
    let head = raw_post(&format!("content-length: {}\r\n", 1_u64 << 60));
    let text = exchange(&mut stream, &head);
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert!(text.contains(r#""not_run":true"#), "{text}");
    assert_eq!(get(daemons.addr(), "/healthz").0, 200);
}

#[test]
fn a_caller_that_stalls_in_the_head_is_disconnected() {
    let (daemons, _engine) = start(EngineSettings::default(), short_timeouts());
    let mut stream = connect(daemons.addr());
    let text = exchange(&mut stream, b"POST /v1/chat/completions HTTP/1.1\r\nauthor");
    assert_eq!(text, "", "the connection is closed without a response");
}

#[test]
fn a_caller_that_stalls_in_the_body_gets_a_timeout_error() {
    let (daemons, _engine) = start(EngineSettings::default(), short_timeouts());
    let mut stream = connect(daemons.addr());
    let mut req = raw_post("content-length: 5000\r\n");
    req.extend_from_slice(b"{\"model\":");
    let text = exchange(&mut stream, &req);
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains(r#""not_run":true"#), "{text}");
}

#[test]
fn an_idle_entry_responds_after_ten_timeouts() {
    let (daemons, _engine) = start(EngineSettings::default(), short_timeouts());
    thread::sleep(Duration::from_millis(SHORT_MS * 10));
    assert_eq!(get(daemons.addr(), "/healthz").0, 200);
    assert_eq!(post(daemons.addr(), KEY, &completion(false)).0, 200);
}

#[test]
fn a_caller_that_never_reads_is_disconnected() {
    let long_response = EngineSettings {
        prefill: Duration::ZERO,
        token_gap: Duration::ZERO,
        answer_tokens: 200_000,
        ..EngineSettings::default()
    };
    let (daemons, _engine) = start(long_response, short_timeouts());
    assert_eq!(
        post(
            daemons.addr(),
            KEY,
            &completion(false).replace("false", "false,\"max_tokens\":1")
        )
        .0,
        200
    );
    let mut stream = connect(daemons.addr());
    let body = completion(true).replace("true", "true,\"max_tokens\":200000");
    let mut req = raw_post(&format!("content-length: {}\r\n", body.len()));
    req.extend_from_slice(body.as_bytes());
    stream.write_all(&req).expect("request");
    wait_for("the call starts", || {
        daemons.entry.lifecycle().in_progress() == 1
    });
    wait_for("the call ends", || {
        daemons.entry.lifecycle().in_progress() == 0
    });
    wait_for("the sidecar is idle", || {
        daemons.sidecar.lifecycle().in_progress() == 0
    });
    drop(stream);
}

#[test]
fn an_entry_at_its_request_limit_refuses_at_once() {
    let slow = EngineSettings {
        prefill: WAIT_TIMEOUT,
        ..EngineSettings::default()
    };
    let settings = EntrySettings {
        max_requests: 1,
        ..EntrySettings::default()
    };
    let (daemons, _engine) = start(slow, settings);
    let addr = daemons.addr();
    // A call that met no upstream still counts for a moment after its answer, so
    // that its resend may be refused as well.
    thread::spawn(move || {
        while post(addr, KEY, &completion(true)).1.contains("overloaded") {
            thread::sleep(Duration::from_millis(50));
        }
    });
    wait_for("a call is in progress", || {
        daemons.sidecar.lifecycle().in_progress() == 1
    });
    let (status, text) = post_once(addr, KEY, &completion(true));
    assert_eq!(status, 503);
    assert!(text.contains("overloaded"), "{text}");
    assert!(text.contains(r#""not_run":true"#), "{text}");
}

#[test]
fn a_draining_entry_reports_that_it_drains() {
    let (daemons, _engine) = start(EngineSettings::default(), EntrySettings::default());
    daemons.entry.lifecycle().drain();
    let (status, text) = get(daemons.addr(), "/healthz");
    assert_eq!((status, text.contains("draining")), (503, true));
    let response = ureq::post(&format!("http://{}/v1/chat/completions", daemons.addr()))
        .send_string(&completion(true));
    let Err(ureq::Error::Status(503, response)) = response else {
        panic!("{response:?}");
    };
    assert_eq!(response.header("retry-after"), Some("0"));
    let text = response.into_string().expect("text");
    assert!(text.contains(r#""kind":"draining""#), "{text}");
    assert!(text.contains(r#""not_run":true"#), "{text}");
}

#[test]
fn every_process_exposes_metrics_and_health() {
    let (daemons, _engine) = start(EngineSettings::default(), EntrySettings::default());
    assert_eq!(post(daemons.addr(), KEY, &completion(false)).0, 200);
    let sidecar = daemons.sidecar.monitor_addr().expect("address");
    let (status, text) = get(sidecar, "/metrics");
    assert_eq!(status, 200);
    assert!(text.contains("sapphirequay_attempts_total{"), "{text}");
    assert_eq!(get(sidecar, "/healthz").0, 200);
    assert_eq!(get(sidecar, "/v1/programs").0, 404);
    daemons.sidecar.lifecycle().drain();
    assert_eq!(get(sidecar, "/healthz").0, 503);
}
