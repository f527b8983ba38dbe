//! Programs over real sockets: call order, replay, budget grants, limits and
//! ownership.

mod common;

use {
    common::{Cluster, TestRequest, field, kind, wait_for},
    quay_standin::{EngineSettings, model::ModelSettings},
    std::{net::SocketAddr, thread, time::Duration},
};

const CALL_BODY: &str =
    r#"{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"hi"}]}"#;

/// Creates a program and returns its id.
fn create(entry: SocketAddr, key: &str, body: &str) -> String {
    let (status, text) = TestRequest {
        path: "/v1/programs",
        headers: &[("Idempotency-Key", key)],
        body,
        ..TestRequest::default()
    }
    .send(entry);
    assert_eq!(status, 201, "{text}");
    field(&text, "id").as_str().expect("id").to_owned()
}

fn show(entry: SocketAddr, id: &str) -> String {
    let path = format!("/v1/programs/{id}");
    let (status, text) = TestRequest {
        method: "GET",
        path: &path,
        ..TestRequest::default()
    }
    .send(entry);
    assert_eq!(status, 200, "{text}");
    text
}

/// Sends call `number` of a program.
fn send_call(entry: SocketAddr, program: &str, number: &str) -> (u16, String) {
    let key = format!("{program}-{number}");
    TestRequest {
        headers: &[
            ("Sapphirequay-Program", program),
            ("Sapphirequay-Call", number),
            ("Idempotency-Key", &key),
        ],
        body: CALL_BODY,
        ..TestRequest::default()
    }
    .send(entry)
}

/// Response without its `created` time.
fn without_created(text: &str) -> serde_json::Value {
    let mut response: serde_json::Value = serde_json::from_str(text).expect("json");
    let created = response
        .as_object_mut()
        .and_then(|object| object.remove("created"));
    assert!(created.is_some(), "{text}");
    response
}

#[test]
fn a_program_calls_a_tool_and_grants_a_sub_agent_budget() {
    let cluster = Cluster::start(Duration::ZERO);
    let [one, two] = cluster.entries;
    let root = create(one, "k", r#"{"budget_tokens":1000}"#);
    assert_eq!(create(two, "k", r#"{"budget_tokens":1000}"#), root);

    let (status, first) = send_call(one, &root, "1");
    assert_eq!(status, 200, "{first}");
    let tool = TestRequest {
        path: "/v1/services/orders",
        headers: &[
            ("Sapphirequay-Program", &root),
            ("Sapphirequay-Idempotent", "false"),
            ("Idempotency-Key", "order"),
        ],
        body: "12 crates",
        ..TestRequest::default()
    };
    let (status, ordered) = tool.send(two);
    assert_eq!((status, &*ordered), (200, "12 crates run 1"));
    // The next turn comes by the other entry.
    assert_eq!(send_call(two, &root, "3").0, 200);

    let grant = format!(r#"{{"parent":"{root}","budget_tokens":600}}"#);
    let child = create(two, "grant", &grant);
    assert_eq!(child, format!("{root}.1"));
    assert_eq!(send_call(one, &child, "1").0, 200);
    let too_much = format!(r#"{{"parent":"{root}","budget_tokens":900}}"#);
    let refused = TestRequest {
        path: "/v1/programs",
        body: &too_much,
        ..TestRequest::default()
    }
    .send(one);
    assert_eq!((refused.0, &*kind(&refused.1)), (402, "budget_exceeded"));

    // A resend to either entry gets the recorded response.
    let again = send_call(two, &root, "1");
    assert_eq!(
        (again.0, without_created(&again.1)),
        (200, without_created(&first))
    );
    assert_eq!(tool.send(one), (200, ordered));
    assert_eq!(cluster.service.runs("12 crates"), 1);

    let status = show(two, &root);
    assert_eq!(
        field(&status, "calls").as_array().map(Vec::len),
        Some(3),
        "{status}"
    );
    assert_eq!(field(&status, "reserved_tokens"), 600);
    let delete = TestRequest {
        method: "DELETE",
        path: &format!("/v1/programs/{root}"),
        ..TestRequest::default()
    };
    assert_eq!(delete.send(one).0, 200);
    assert_eq!(field(&show(two, &child), "ended"), true);
    assert_eq!(field(&show(two, &root), "reserved_tokens"), 0);
    let late = send_call(one, &root, "4");
    assert_eq!((late.0, &*kind(&late.1)), (410, "program_ended"));
}

#[test]
fn calls_run_in_the_order_of_their_numbers() {
    let cluster = Cluster::start(Duration::ZERO);
    let [one, two] = cluster.entries;
    let program = create(one, "ordered", "");
    let early = {
        let program = program.clone();
        thread::spawn(move || send_call(two, &program, "2"))
    };
    thread::sleep(Duration::from_millis(100));
    assert_eq!(
        field(&show(one, &program), "calls")
            .as_array()
            .map(Vec::len),
        Some(0)
    );
    assert_eq!(send_call(one, &program, "1").0, 200);
    let (status, text) = early.join().expect("thread");
    assert_eq!(status, 200, "{text}");
    let calls = field(&show(one, &program), "calls");
    assert_eq!(
        (&calls[0]["number"], &calls[1]["number"]),
        (&1.into(), &2.into())
    );
}

#[test]
fn concurrent_resends_run_once() {
    let cluster = Cluster::start(Duration::from_millis(700));
    let sends: Vec<_> = (0..6)
        .map(|slot| {
            let entry = cluster.entries[slot % 2];
            thread::spawn(move || {
                TestRequest {
                    path: "/v1/services/orders",
                    headers: &[
                        ("Idempotency-Key", "same"),
                        ("Sapphirequay-Idempotent", "false"),
                    ],
                    body: "one truck",
                    ..TestRequest::default()
                }
                .send(entry)
            })
        })
        .collect();
    for sent in sends {
        let response = sent.join().expect("thread");
        assert_eq!(response, (200, "one truck run 1".to_owned()));
    }
    let other = TestRequest {
        path: "/v1/services/orders",
        headers: &[
            ("Idempotency-Key", "same"),
            ("Sapphirequay-Idempotent", "false"),
        ],
        body: "two trucks",
        ..TestRequest::default()
    };
    assert_eq!(kind(&other.send(cluster.entries[0]).1), "conflict");
    assert_eq!(cluster.service.runs("two trucks"), 0);
}

#[test]
fn a_program_over_an_account_limit_gets_the_limit_in_the_error() {
    let cluster = Cluster::start(Duration::ZERO);
    let (status, text) = TestRequest {
        path: "/v1/programs",
        body: r#"{"budget_tokens":10,"turns":4000000}"#,
        ..TestRequest::default()
    }
    .send(cluster.entries[0]);
    assert_eq!((status, &*kind(&text)), (403, "program_limit"));
    assert!(
        text.contains("turns: 4000000 is over the account's limit of"),
        "{text}"
    );
}

#[test]
fn refused_requests_change_nothing() {
    let cluster = Cluster::start(Duration::ZERO);
    let [one, two] = cluster.entries;
    let program = create(one, "small", r#"{"budget_tokens":10}"#);
    let before = show(one, &program);
    let path = format!("/v1/programs/{program}");
    let call = |headers: &[(&str, &str)], account: &str| {
        let (_, text) = TestRequest {
            account,
            headers,
            ..TestRequest::default()
        }
        .send(two);
        assert!(text.contains(r#""not_run":true"#), "{text}");
        kind(&text)
    };
    let of_program = ("Sapphirequay-Program", &*program);
    assert_eq!(call(&[of_program], "key-a"), "budget_exceeded");
    assert_eq!(call(&[of_program], "key-b"), "forbidden");
    assert_eq!(
        call(&[of_program, ("Sapphirequay-Call", "0")], "key-a"),
        "bad_request"
    );
    assert_eq!(
        call(&[of_program, ("Sapphirequay-Call", "-1")], "key-a"),
        "bad_request"
    );
    assert_eq!(
        call(&[("Sapphirequay-Program", "p-1")], "key-a"),
        "not_found"
    );
    assert_eq!(
        call(&[("Sapphirequay-Program", "x")], "key-a"),
        "bad_request"
    );
    assert_eq!(
        call(&[("Sapphirequay-Idempotent", "maybe")], "key-a"),
        "bad_request"
    );
    for method in ["GET", "DELETE"] {
        let foreign = TestRequest {
            method,
            path: &path,
            account: "key-b",
            ..TestRequest::default()
        };
        assert_eq!(kind(&foreign.send(two).1), "forbidden");
    }
    let wrong = TestRequest {
        path: "/v1/programs",
        body: r#"{"budget_tokens":-5}"#,
        ..TestRequest::default()
    };
    assert_eq!(kind(&wrong.send(two).1), "bad_request");
    let foreign_grant = format!(r#"{{"parent":"{program}","budget_tokens":1}}"#);
    let foreign_grant = TestRequest {
        path: "/v1/programs",
        account: "key-b",
        body: &foreign_grant,
        ..TestRequest::default()
    };
    assert_eq!(kind(&foreign_grant.send(two).1), "forbidden");
    assert_eq!(show(one, &program), before);
}

/// Number of blocks in the engine's prefix cache.
fn cached_blocks(cluster: &Cluster) -> usize {
    let url = format!("http://{}/v1/cache/snapshot", cluster.engine.addr());
    let text = ureq::get(&url)
        .call()
        .expect("snapshot")
        .into_string()
        .expect("text");
    let snapshot: serde_json::Value = serde_json::from_str(&text).expect("json");
    snapshot["blocks"].as_array().expect("blocks").len()
}

#[test]
fn cached_blocks_of_an_ended_program_are_released() {
    let engine = EngineSettings {
        model: Some(ModelSettings::default()),
        ..EngineSettings::default()
    };
    let cluster = Cluster::with_engine(Duration::ZERO, engine);
    let [one, _] = cluster.entries;
    let program = create(one, "long", r#"{"budget_tokens":100000}"#);
    let prompt = "a long history of one shop ".repeat(100);
    let body = CALL_BODY.replace(r#""hi""#, &format!("{prompt:?}"));
    let call = TestRequest {
        headers: &[("Sapphirequay-Program", &program)],
        body: &body,
        ..TestRequest::default()
    };
    assert_eq!(call.send(one).0, 200);
    assert!(cached_blocks(&cluster) >= 10, "the prompt is cached");
    thread::sleep(Duration::from_secs(1));
    assert!(
        cached_blocks(&cluster) >= 10,
        "a running program keeps its cached blocks"
    );

    // The sidecar is not notified; its periodic sweep detects the end.
    let path = format!("/v1/programs/{program}");
    let end = ureq::delete(&format!("http://{one}{path}"));
    end.set("authorization", "Bearer key-a")
        .call()
        .expect("end");
    wait_for("the cached blocks are released", || {
        cached_blocks(&cluster) == 0
    });
}
