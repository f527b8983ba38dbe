//! End-to-end calls over real sockets through entry, sidecar and engine.

mod common;

use {
    common::{Daemons, KEY, completion, engine, post, sidecar_for_engine, streamed_text},
    quay_standin::{Engine, EngineSettings},
    sapphirequayd::EntrySettings,
    serde_json::Value,
};

fn start() -> (Daemons, Engine) {
    let engine = engine(EngineSettings::default());
    let daemons = Daemons::start(sidecar_for_engine(engine.addr()), EntrySettings::default());
    (daemons, engine)
}

/// Data events of a streamed response.
fn events(text: &str) -> Vec<Value> {
    text.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).expect("event"))
        .collect()
}

#[test]
fn a_complete_response_has_the_chat_completion_format() {
    let (daemons, _engine) = start();
    let (status, text) = post(daemons.addr(), KEY, &completion(false));
    assert_eq!(status, 200, "{text}");
    let body: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(body["choices"][0]["message"]["role"], "assistant");
    let content = body["choices"][0]["message"]["content"].as_str();
    assert!(
        content.expect("content").starts_with("word0 word1 "),
        "{text}"
    );
    assert_eq!(body["usage"]["completion_tokens"], 16);
    let total = body["usage"]["total_tokens"].as_u64().expect("total");
    let prompt = body["usage"]["prompt_tokens"].as_u64().expect("prompt");
    assert_eq!(total, prompt + 16);
}

#[test]
fn a_streamed_response_has_the_chunk_format_and_a_checksum() {
    let (daemons, _engine) = start();
    let (status, text) = post(daemons.addr(), KEY, &completion(true));
    assert_eq!(status, 200);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let events = events(&text);
    assert_eq!(events[0]["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(events.len(), 18, "role, 16 deltas, end: {text}");
    let last = events.last().expect("end");
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    let response = streamed_text(&text);
    assert_eq!(last["sapphirequay"]["bytes"], response.len());
    let checksum = format!("{:08x}", crc32fast::hash(response.as_bytes()));
    assert_eq!(last["sapphirequay"]["crc32"], checksum.as_str());
    assert!(!text.contains(r#""usage""#), "usage was not requested");
}

#[test]
fn a_stream_reports_usage_on_request() {
    let (daemons, _engine) = start();
    let body = r#"{"model":"m","stream":true,"stream_options":{"include_usage":true},
        "messages":[{"role":"user","content":"hi"}]}"#;
    let (_, text) = post(daemons.addr(), KEY, body);
    let events = events(&text);
    let last = events.last().expect("usage");
    assert_eq!(last["choices"], serde_json::json!([]));
    assert_eq!(last["usage"]["completion_tokens"], 16);
}
