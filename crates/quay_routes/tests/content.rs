//! Recognition of a request that comes again.

use {
    http::{Method, Uri},
    quay_routes::{CallHead, TurnHead},
};

fn head(id: &str, host: &str, prior: Option<&str>) -> CallHead {
    CallHead {
        id: id.into(),
        host: host.into(),
        program: Some(format!("program of {id}").into()),
        turn: Some(TurnHead {
            prior: prior.map(Into::into),
            ..TurnHead::default()
        }),
        ..CallHead::default()
    }
}

#[test]
fn a_content_is_the_same_under_every_id_and_differs_with_each_of_its_parts() {
    let path = |text: &'static str| Uri::from_static(text);
    let first = head("a", "one.example", None);
    let content = first.content(&Method::POST, &path("/x?y=1"), b"body");
    let again = head("b", "one.example", None);
    assert_eq!(
        content,
        again.content(&Method::POST, &path("http://one.example/x?y=1"), b"body")
    );
    let others = [
        first.content(&Method::PUT, &path("/x?y=1"), b"body"),
        first.content(&Method::POST, &path("/x?y=2"), b"body"),
        first.content(&Method::POST, &path("/x?y=1"), b"other"),
        head("a", "two.example", None).content(&Method::POST, &path("/x?y=1"), b"body"),
        head("a", "one.example", Some("t1")).content(&Method::POST, &path("/x?y=1"), b"body"),
    ];
    assert!(!others.contains(&content));
}
