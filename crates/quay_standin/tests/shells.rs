//! Stand-ins over HTTP.

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

const ANY: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    0,
));

fn modelled() -> Engine {
    let settings = EngineSettings {
        model: Some(ModelSettings::default()),
        ..EngineSettings::default()
    };
    Engine::start(ANY, settings).expect("engine")
}

fn complete(engine: &Engine, stream: &str, content: &str) -> String {
    let body = json!({"messages": [{"role": "user", "content": content}], "max_tokens": 8});
    ureq::post(&format!("http://{}/v1/chat/completions", engine.addr()))
        .set("sapphirequay-stream", stream)
        .send_string(&body.to_string())
        .expect("answer")
        .into_string()
        .expect("text")
}

/// The numbers of the events that carry text.
fn positions(text: &str) -> Vec<u64> {
    let with_text = text.split("\n\n").filter(|event| event.contains("word"));
    with_text
        .filter_map(|event| event.lines().find_map(|line| line.strip_prefix("id: ")))
        .map(|id| id.parse().expect("number"))
        .collect()
}

fn cached(text: &str) -> u64 {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let mut usage = events
        .filter_map(|event| event["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64());
    usage.next_back().expect("usage")
}

#[test]
fn a_stream_is_resumed_after_any_token() {
    let engine = modelled();
    assert_eq!(
        positions(&complete(&engine, "s", "hi")),
        (1..=8).collect::<Vec<_>>()
    );
    let resumed = ureq::get(&format!("http://{}/v1/streams/s", engine.addr()))
        .set("last-event-id", "5")
        .call();
    let text = resumed.expect("answer").into_string().expect("text");
    assert_eq!(positions(&text), [6, 7, 8]);
    assert!(text.contains("[DONE]"));
    let unknown = ureq::get(&format!("http://{}/v1/streams/t", engine.addr())).call();
    assert!(matches!(unknown, Err(ureq::Error::Status(404, _))));
}

#[test]
fn a_second_prompt_finds_its_prefix_in_the_cache() {
    let engine = modelled();
    let prompt = "shelf ".repeat(400);
    assert_eq!(cached(&complete(&engine, "a", &prompt)), 0);
    assert!(cached(&complete(&engine, "b", &prompt)) > 500);
}

#[test]
fn an_order_with_an_old_fence_number_is_refused() {
    let engine = modelled();
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
fn a_cancelled_answer_ends() {
    let settings = EngineSettings {
        token_gap: Duration::from_millis(50),
        answer_tokens: 10_000,
        ..EngineSettings::default()
    };
    let engine = Engine::start(ANY, settings).expect("engine");
    let addr = engine.addr();
    let caller = thread::spawn(move || {
        ureq::post(&format!("http://{addr}/v1/chat/completions"))
            .set("sapphirequay-stream", "s")
            .send_string("{}")
            .expect("answer")
            .into_string()
            .expect("text")
    });
    while engine.counts().running == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    let cancelled = ureq::delete(&format!("http://{addr}/v1/streams/s")).call();
    assert_eq!(cancelled.expect("answer").status(), 204);
    assert!(!caller.join().expect("caller").contains("[DONE]"));
    assert_eq!(engine.counts().cancelled, 1);
}

#[test]
fn a_service_counts_what_it_runs() {
    for (idempotent, runs) in [(false, 2), (true, 1)] {
        let settings = ServiceSettings {
            idempotent,
            ..ServiceSettings::default()
        };
        let service = Service::start(ANY, settings).expect("service");
        for _ in 0..2 {
            let sent = ureq::post(&format!("http://{}/", service.addr()));
            sent.send_string(r#"{"key":"order-1"}"#).expect("answer");
        }
        assert_eq!(service.runs("order-1"), runs);
    }
}

#[test]
fn a_weight_store_keeps_to_its_rate() {
    let weights = WeightServer::start(ANY, 1_000_000).expect("store");
    let started = Instant::now();
    let url = format!("http://{}/weights/m?bytes=200000", weights.addr());
    ureq::get(&url).call().expect("answer");
    assert!(started.elapsed() >= Duration::from_millis(200));
}
