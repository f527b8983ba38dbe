//! The stream tracker forwards each token once and in order despite connection
//! faults.

use {
    proptest::prelude::*,
    quay_types::{ErrorKind, FinishReason, Time, Tokens},
    sapphirequayd::{StreamAction, StreamTracker, StreamTrackerSettings, UpstreamEvent, Usage},
    std::time::Duration,
};

/// Fault of a connection after some of its events.
#[derive(Debug, Clone)]
enum Fault {
    ReadTimeout,
    Broken,
    /// Events are repeated from this many tokens back.
    Repeats(u64),
    /// This many events are skipped.
    Skips(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::ReadTimeout),
        Just(Fault::Broken),
        (1..5_u64).prop_map(Fault::Repeats),
        (1..5_u64).prop_map(Fault::Skips),
    ]
}

fn word(number: u64) -> Box<str> {
    format!("w{number} ").into()
}

fn token(position: u64) -> UpstreamEvent {
    UpstreamEvent::Text {
        position,
        tokens: 1,
        text: word(position),
    }
}

fn end(position: u64) -> UpstreamEvent {
    UpstreamEvent::End {
        position: Some(position),
        finish: FinishReason::Stop,
        usage: Usage::default(),
    }
}

fn settings() -> StreamTrackerSettings {
    StreamTrackerSettings::default()
}

proptest! {
    #[test]
    fn the_response_has_neither_gaps_nor_repeats(
        tokens in 1..60_u64,
        faults in prop::collection::vec((1..12_u64, fault()), 0..12),
    ) {
        let mut tracker = StreamTracker::new(settings(), Time::ZERO);
        let mut faults = faults.into_iter();
        let mut response = String::new();
        let mut next = 1_u64;
        let (mut until, mut fault) = faults.next().unwrap_or((u64::MAX, Fault::ReadTimeout));
        for _ in 0..1_000 {
            let event = if until == 0 {
                let event = match fault {
                    Fault::ReadTimeout => UpstreamEvent::ReadTimeout,
                    Fault::Broken => UpstreamEvent::Broken,
                    Fault::Repeats(back) => {
                        next = next.saturating_sub(back).max(1);
                        token(next)
                    }
                    Fault::Skips(ahead) => {
                        next = (next + ahead).min(tokens);
                        token(next)
                    }
                };
                (until, fault) = faults.next().unwrap_or((u64::MAX, Fault::ReadTimeout));
                event
            } else if next > tokens {
                end(tokens)
            } else {
                token(next)
            };
            until = until.saturating_sub(1);
            match tracker.handle(Time::ZERO, event) {
                StreamAction::Forward { offset, text, tokens } => {
                    prop_assert_eq!(offset, response.len() as u64);
                    prop_assert_eq!(tokens, 1);
                    response.push_str(&text);
                    next += 1;
                }
                StreamAction::Read => next += 1,
                StreamAction::Resume(seen) => next = seen + 1,
                StreamAction::End(..) => {
                    let expected: String = (1..=tokens).map(word).collect();
                    prop_assert_eq!(response, expected);
                    return Ok(());
                }
                // Too many broken connections in a row end the attempt.
                StreamAction::Fail(err) => {
                    prop_assert_eq!(err.kind, ErrorKind::UpstreamLost);
                    return Ok(());
                }
                other => prop_assert!(false, "{:?}", other),
            }
        }
        prop_assert!(false, "the attempt did not end");
    }

    #[test]
    fn the_response_never_exceeds_its_reservation(limit in 1..20_u64, tokens in 1..40_u64) {
        let settings = StreamTrackerSettings { max_output: Tokens(limit), ..settings() };
        let mut tracker = StreamTracker::new(settings, Time::ZERO);
        let mut forwarded = 0;
        for position in 1..=tokens {
            match tracker.handle(Time::ZERO, token(position)) {
                StreamAction::Forward { tokens, .. } => forwarded += u64::from(tokens),
                StreamAction::Truncate(usage) => {
                    prop_assert_eq!(usage.output, Tokens(limit));
                    break;
                }
                other => prop_assert!(false, "{:?}", other),
            }
        }
        prop_assert_eq!(forwarded, tokens.min(limit));
    }
}

#[test]
fn an_initial_connection_failure_means_not_run() {
    let mut tracker = StreamTracker::new(settings(), Time::ZERO);
    let action = tracker.handle(Time::ZERO, UpstreamEvent::Unreachable);
    assert!(
        matches!(&action, StreamAction::NotRun(err) if err.kind.not_run()),
        "{action:?}"
    );
}

#[test]
fn a_later_connection_failure_may_have_run() {
    for (idempotent, kind) in [
        (true, ErrorKind::UpstreamLost),
        (false, ErrorKind::OutcomeUnknown),
    ] {
        for first in [token(1), UpstreamEvent::ReadTimeout, UpstreamEvent::Broken] {
            let settings = StreamTrackerSettings {
                idempotent,
                ..settings()
            };
            let mut tracker = StreamTracker::new(settings, Time::ZERO);
            let _ = tracker.handle(Time::ZERO, first.clone());
            let action = tracker.handle(Time::ZERO, UpstreamEvent::Unreachable);
            assert!(
                matches!(&action, StreamAction::Fail(err) if err.kind == kind),
                "after {first:?}: {action:?}"
            );
        }
    }
}

#[test]
fn an_unknown_stream_is_resent_once_if_idempotent() {
    let mut tracker = StreamTracker::new(settings(), Time::ZERO);
    assert_eq!(
        tracker.handle(Time::ZERO, UpstreamEvent::ReadTimeout),
        StreamAction::Resume(0)
    );
    assert_eq!(
        tracker.handle(Time::ZERO, UpstreamEvent::Unknown),
        StreamAction::Resend
    );
    let action = tracker.handle(Time::ZERO, UpstreamEvent::Unknown);
    assert!(matches!(action, StreamAction::Fail(_)), "{action:?}");

    let not_idempotent = StreamTrackerSettings {
        idempotent: false,
        ..settings()
    };
    let mut tracker = StreamTracker::new(not_idempotent, Time::ZERO);
    let action = tracker.handle(Time::ZERO, UpstreamEvent::Unknown);
    assert!(
        matches!(&action, StreamAction::Fail(err) if err.kind == ErrorKind::OutcomeUnknown),
        "{action:?}"
    );
}

#[test]
fn an_upstream_without_tokens_fails_after_the_token_timeout() {
    let mut tracker = StreamTracker::new(settings(), Time::ZERO);
    let limit = settings().token_timeout;
    let early = tracker.handle(Time::ZERO + limit / 2, UpstreamEvent::ReadTimeout);
    assert_eq!(early, StreamAction::Resume(0));
    let late = tracker.handle(Time::ZERO + limit, UpstreamEvent::ReadTimeout);
    assert!(matches!(late, StreamAction::Fail(_)), "{late:?}");
}

#[test]
fn the_deadline_ends_an_attempt() {
    let settings = StreamTrackerSettings {
        deadline: Time::from_millis(10),
        ..settings()
    };
    let mut tracker = StreamTracker::new(settings, Time::ZERO);
    let action = tracker.handle(Time::from_millis(10), token(1));
    assert!(
        matches!(&action, StreamAction::Fail(err) if err.kind == ErrorKind::DeadlineExceeded),
        "{action:?}"
    );
}

#[test]
fn an_end_event_with_missing_tokens_resumes_the_stream() {
    let mut tracker = StreamTracker::new(settings(), Time::ZERO);
    let _ = tracker.handle(Time::ZERO, token(1));
    assert_eq!(
        tracker.handle(Time::ZERO + Duration::from_secs(1), end(3)),
        StreamAction::Resume(1)
    );
}
