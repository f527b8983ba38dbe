//! Tests of the simulated servers over HTTP.

use {
    quay_standin::{
        Engine, EngineSettings, Service, ServiceSettings, WeightServer, model::ModelSettings,
    },
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Loopback address with a port chosen by the operating system.
const ANY_PORT: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    0,
));

fn start_engine_with_model() -> Engine {
    let settings = EngineSettings {
        model: Some(ModelSettings::default()),
        ..EngineSettings::default()
    };
    Engine::start(ANY_PORT, settings).expect("engine")
}

fn complete(engine: &Engine, stream: &str, content: &str) -> String {
    let body = json!({"messages": [{"role": "user", "content": content}], "max_tokens": 8});
    ureq::post(&format!("http://{}/v1/chat/completions", engine.addr()))
        .set("sapphirequay-stream", stream)
        .send_string(&body.to_string())
        .expect("response")
        .into_string()
        .expect("text")
}

/// IDs of the events that contain text.
fn token_event_ids(text: &str) -> Vec<u64> {
    let with_text = text.split("\n\n").filter(|event| event.contains("word"));
    with_text
        .filter_map(|event| event.lines().find_map(|line| line.strip_prefix("id: ")))
        .map(|id| id.parse().expect("number"))
        .collect()
}

/// Number of cached prompt tokens in the usage of a streamed response.
fn cached_tokens(text: &str) -> u64 {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let mut usage = events
        .filter_map(|event| event["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64());
    usage.next_back().expect("usage")
}

#[test]
fn a_stream_is_resumed_after_any_token() {
    let engine = start_engine_with_model();
    assert_eq!(
        token_event_ids(&complete(&engine, "s", "hi")),
        (1..=8).collect::<Vec<_>>()
    );
    let resumed = ureq::get(&format!("http://{}/v1/streams/s", engine.addr()))
        .set("last-event-id", "5")
        .call();
    let text = resumed.expect("response").into_string().expect("text");
    assert_eq!(token_event_ids(&text), [6, 7, 8]);
    assert!(text.contains("[DONE]"));
    let unknown = ureq::get(&format!("http://{}/v1/streams/t", engine.addr())).call();
    assert!(matches!(unknown, Err(ureq::Error::Status(404, _))));
}

#[test]
fn a_repeated_prompt_is_found_in_the_prefix_cache() {
    let engine = start_engine_with_model();
    let prompt = "shelf ".repeat(400);
    assert_eq!(cached_tokens(&complete(&engine, "a", &prompt)), 0);
    assert!(cached_tokens(&complete(&engine, "b", &prompt)) > 500);
}

#[test]
fn an_order_with_a_stale_fence_number_is_refused() {
    let engine = start_engine_with_model();
    let order = |fence: u64| {
        let body = json!({"fence": fence, "action": "role", "role": "prefill"});
        let sent = ureq::post(&format!("http://{}/v1/orders", engine.addr()))
            .send_string(&body.to_string());
        match sent {
            Ok(response) | Err(ureq::Error::Status(_, response)) => response.status(),
            Err(err) => panic!("{err}"),
        }
    };
    assert_eq!((order(2), order(1), order(3)), (200, 409, 200));
}

#[test]
fn a_cancelled_stream_ends_early() {
    let settings = EngineSettings {
        token_gap: Duration::from_millis(50),
        answer_tokens: 10_000,
        ..EngineSettings::default()
    };
    let engine = Engine::start(ANY_PORT, settings).expect("engine");
    let addr = engine.addr();
    let caller = thread::spawn(move || {
        ureq::post(&format!("http://{addr}/v1/chat/completions"))
            .set("sapphirequay-stream", "s")
            .send_string("{}")
            .expect("response")
            .into_string()
            .expect("text")
    });
    while engine.counts().running == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    let cancelled = ureq::delete(&format!("http://{addr}/v1/streams/s")).call();
    assert_eq!(cancelled.expect("response").status(), 204);
    assert!(!caller.join().expect("caller").contains("[DONE]"));
    assert_eq!(engine.counts().cancelled, 1);
}

#[test]
fn a_service_counts_executions_per_request() {
    for (idempotent, runs) in [(false, 2), (true, 1)] {
        let settings = ServiceSettings {
            idempotent,
            ..ServiceSettings::default()
        };
        let service = Service::start(ANY_PORT, settings).expect("service");
        for _ in 0..2 {
            let sent = ureq::post(&format!("http://{}/", service.addr()));
            sent.send_string(r#"{"key":"order-1"}"#).expect("response");
        }
        assert_eq!(service.runs("order-1"), runs);
    }
}

#[test]
fn a_weight_store_limits_its_transfer_rate() {
    let weights = WeightServer::start(ANY_PORT, 1_000_000).expect("store");
    let started = Instant::now();
    let url = format!("http://{}/weights/m?bytes=200000", weights.addr());
    ureq::get(&url).call().expect("response");
    assert!(started.elapsed() >= Duration::from_millis(200));
}
