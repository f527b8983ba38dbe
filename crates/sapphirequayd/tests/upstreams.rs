//! Engines that stall, crash, or run calls that are cancelled, and upstream
//! health.

mod common;

use {
    common::{
        Daemons, KEY, completion, engine, post, post_once, sidecar_for_engine, streamed_text,
        wait_for,
    },
    quay_standin::{Engine, EngineSettings},
    quay_types::{Time, UpstreamState},
    sapphirequayd::{EntrySettings, Health, HealthSettings},
    std::{
        io::{Read as _, Write as _},
        net::{Shutdown, SocketAddr},
        thread,
        time::Duration,
    },
};

fn start(settings: EngineSettings) -> (Daemons, Engine) {
    let engine = engine(settings);
    let daemons = Daemons::start(sidecar_for_engine(engine.addr()), EntrySettings::default());
    (daemons, engine)
}

/// Settings of an engine whose responses take two seconds.
fn slow() -> EngineSettings {
    EngineSettings {
        token_gap: Duration::from_millis(20),
        answer_tokens: 100,
        ..EngineSettings::default()
    }
}

/// Posts a streamed completion on another thread.
fn post_in_background(addr: SocketAddr) -> thread::JoinHandle<(u16, String)> {
    thread::spawn(move || post(addr, KEY, &completion(true)))
}

fn expected_text(tokens: u64) -> String {
    let words: Vec<_> = (0..tokens).map(|number| format!("word{number} ")).collect();
    words.concat()
}

#[test]
fn a_stalled_connection_is_resumed_without_gaps_or_repeats() {
    let (daemons, engine) = start(slow());
    let caller = post_in_background(daemons.addr());
    wait_for("the response starts", || engine.counts().running == 1);
    thread::sleep(Duration::from_millis(300));
    engine.stall_connections();
    let (status, text) = caller.join().expect("caller");
    assert_eq!(status, 200);
    assert_eq!(streamed_text(&text), expected_text(100));
    assert!(text.contains(": heartbeat"), "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(engine.counts().started, 1);
    assert!(engine.counts().resumed >= 1);
}

#[test]
fn a_crashed_engine_fails_its_calls_and_is_announced_as_failing() {
    let (daemons, engine) = start(slow());
    let callers: Vec<_> = (0..4).map(|_| post_in_background(daemons.addr())).collect();
    wait_for("the responses start", || engine.counts().running == 4);
    engine.crash();
    for caller in callers {
        let (status, text) = caller.join().expect("caller");
        assert!(text.contains("upstream_lost"), "status {status}: {text}");
    }
    wait_for("the upstream is excluded", || {
        let (status, text) = post_once(daemons.addr(), KEY, &completion(true));
        status == 503 && text.contains("no_upstream")
    });
    assert!(
        post_once(daemons.addr(), KEY, &completion(true))
            .1
            .contains(r#""not_run":true"#)
    );
}

#[test]
fn an_engine_that_does_not_listen_is_reported_as_not_run() {
    let engine = engine(EngineSettings::default());
    let addr = engine.addr();
    drop(engine);
    // Connections fail only once the listener is closed.
    wait_for("the listener is closed", || {
        std::net::TcpStream::connect(addr).is_err()
    });
    let daemons = Daemons::start(sidecar_for_engine(addr), EntrySettings::default());
    wait_for("the entry knows the sidecar", || {
        let (status, text) = post_once(daemons.addr(), KEY, &completion(true));
        assert_eq!(status, 503, "{text}");
        assert!(text.contains(r#""not_run":true"#), "{text}");
        let (_, metrics) = common::get(daemons.addr(), "/metrics");
        metrics.contains(r#"sapphirequay_attempts_total{outcome="no_upstream"}"#)
    });
}

#[test]
fn a_passed_deadline_cancels_the_stream_on_the_engine() {
    let long_response = EngineSettings {
        answer_tokens: 100_000,
        ..slow()
    };
    let (daemons, engine) = start(long_response);
    let short = completion(false).replace("false", "false,\"max_tokens\":1");
    assert_eq!(post(daemons.addr(), KEY, &short).0, 200);
    let body = completion(true).replace("true", "true,\"max_tokens\":100000");
    let sent = ureq::post(&format!("http://{}/v1/chat/completions", daemons.addr()))
        .set("authorization", &format!("Bearer {KEY}"))
        .set("sapphirequay-deadline-ms", "500")
        .send_string(&body);
    let (_, text) = common::read(sent);
    assert!(text.contains("deadline_exceeded"), "{text}");
    wait_for("the engine cancels the stream", || {
        engine.counts().cancelled == 1
    });
}

#[test]
fn a_call_continues_after_its_caller_disconnects() {
    let (daemons, engine) = start(slow());
    let mut stream = common::connect(daemons.addr());
    wait_for("the entry knows the upstream", || {
        let short = completion(false).replace("false", "false,\"max_tokens\":1");
        post_once(daemons.addr(), KEY, &short).0 == 200
    });
    let body = completion(true);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n\
        idempotency-key: once\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("head");
    stream.write_all(body.as_bytes()).expect("body");
    let mut buf = [0; 256];
    assert!(stream.read(&mut buf).expect("response") > 0);
    stream.shutdown(Shutdown::Both).expect("shutdown");
    let again = ureq::post(&format!("http://{}/v1/chat/completions", daemons.addr()))
        .set("authorization", &format!("Bearer {KEY}"))
        .set("idempotency-key", "once")
        .send_string(&body);
    let text = again.expect("response").into_string().expect("text");
    assert_eq!(streamed_text(&text), expected_text(100));
    assert_eq!(engine.counts().started, 2, "the call ran once");
}

#[test]
fn a_prompt_that_crashes_the_engine_is_reported_as_lost() {
    let settings = EngineSettings {
        poison: Some("hi".into()),
        ..slow()
    };
    let (daemons, _engine) = start(settings);
    let (_, text) = post(daemons.addr(), KEY, &completion(true));
    assert!(text.contains("upstream_lost"), "{text}");
    assert!(text.contains(r#""not_run":false"#), "{text}");
}

#[test]
fn failures_exclude_an_upstream_and_successful_probes_readmit_it() {
    let mut health = Health::new(HealthSettings::default());
    let at = Time::from_millis;
    for second in 0..3 {
        assert_eq!(health.state(), UpstreamState::Serving);
        health.record_outcome(at(second * 100), false);
    }
    assert_eq!(health.state(), UpstreamState::Failing);
    assert!(!health.probe_due(at(300)));
    assert!(health.probe_due(at(1_300)));
    assert!(!health.probe_due(at(1_301)), "one probe at a time");
    health.record_probe(at(1_310), true);
    assert_eq!(health.state(), UpstreamState::Failing);
    health.record_probe(at(2_310), true);
    assert_eq!(health.state(), UpstreamState::Serving);
}

#[test]
fn occasional_failures_do_not_exclude_an_upstream() {
    let mut health = Health::new(HealthSettings::default());
    for number in 0..100 {
        health.record_outcome(Time::from_millis(number * 10), number % 5 != 0);
    }
    assert_eq!(health.state(), UpstreamState::Serving);
}

#[test]
fn repeated_failures_exclude_an_upstream_for_longer() {
    let mut health = Health::new(HealthSettings::default());
    let mut now = Time::ZERO;
    let mut exclusions = Vec::new();
    for _ in 0..4 {
        for _ in 0..3 {
            health.record_outcome(now, false);
        }
        let since = now;
        while health.state() == UpstreamState::Failing {
            now = now + Duration::from_millis(100);
            if health.probe_due(now) {
                health.record_probe(now, true);
            }
        }
        exclusions.push(now.since(since));
    }
    assert!(exclusions.is_sorted(), "{exclusions:?}");
    assert!(exclusions[3] > exclusions[0] * 2, "{exclusions:?}");
}
