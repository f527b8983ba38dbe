//! The tracker passes each token on once and in order, whatever connections do.

use {
    proptest::prelude::*,
    quay_types::{ErrorKind, FinishReason, Time, Tokens},
    sapphirequayd::{StreamAction, StreamTracker, StreamTrackerSettings, UpstreamEvent, Usage},
    std::time::Duration,
};

/// What goes wrong on a connection after some of its events.
#[derive(Debug, Clone)]
enum Fault {
    Silent,
    Broken,
    /// Events from so many tokens back come again.
    Repeats(u64),
    /// So many events are skipped.
    Skips(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Silent),
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
    fn the_answer_has_neither_gap_nor_repeat(
        tokens in 1..60_u64,
        faults in prop::collection::vec((1..12_u64, fault()), 0..12),
    ) {
        let mut tracker = StreamTracker::new(settings(), Time::ZERO);
        let mut faults = faults.into_iter();
        let mut answer = String::new();
        let mut next = 1_u64;
        let (mut until, mut fault) = faults.next().unwrap_or((u64::MAX, Fault::Silent));
        for _ in 0..1_000 {
            let input = if until == 0 {
                let input = match fault {
                    Fault::Silent => UpstreamEvent::ReadTimeout,
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
                (until, fault) = faults.next().unwrap_or((u64::MAX, Fault::Silent));
                input
            } else if next > tokens {
                end(tokens)
            } else {
                token(next)
            };
            until = until.saturating_sub(1);
            match tracker.handle(Time::ZERO, input) {
                StreamAction::Forward { offset, text, tokens } => {
                    prop_assert_eq!(offset, answer.len() as u64);
                    prop_assert_eq!(tokens, 1);
                    answer.push_str(&text);
                    next += 1;
                }
                StreamAction::Read => next += 1,
                StreamAction::Resume(seen) => next = seen + 1,
                StreamAction::End(..) => {
                    let whole: String = (1..=tokens).map(word).collect();
                    prop_assert_eq!(answer, whole);
                    return Ok(());
                }
                // Connections that break too often end the attempt.
                StreamAction::Fail(err) => {
                    prop_assert_eq!(err.kind, ErrorKind::UpstreamLost);
                    return Ok(());
                }
                other => prop_assert!(false, "{:?}", other),
            }
        }
        prop_assert!(false, "the attempt does not end");
    }

    #[test]
    fn the_answer_never_passes_its_reservation(limit in 1..20_u64, tokens in 1..40_u64) {
        let settings = StreamTrackerSettings { max_output: Tokens(limit), ..settings() };
        let mut tracker = StreamTracker::new(settings, Time::ZERO);
        let mut passed = 0;
        for position in 1..=tokens {
            match tracker.handle(Time::ZERO, token(position)) {
                StreamAction::Forward { tokens, .. } => passed += u64::from(tokens),
                StreamAction::Truncate(usage) => {
                    prop_assert_eq!(usage.output, Tokens(limit));
                    break;
                }
                other => prop_assert!(false, "{:?}", other),
            }
        }
        prop_assert_eq!(passed, tokens.min(limit));
    }
}

#[test]
fn a_connection_refused_at_first_is_not_run() {
    let mut tracker = StreamTracker::new(settings(), Time::ZERO);
    let step = tracker.handle(Time::ZERO, UpstreamEvent::Unreachable);
    assert!(
        matches!(&step, StreamAction::NotRun(err) if err.kind.not_run()),
        "{step:?}"
    );
}

#[test]
fn a_connection_refused_later_may_have_run() {
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
            let step = tracker.handle(Time::ZERO, UpstreamEvent::Unreachable);
            assert!(
                matches!(&step, StreamAction::Fail(err) if err.kind == kind),
                "after {first:?}: {step:?}"
            );
        }
    }
}

#[test]
fn a_request_that_got_lost_is_repeated_once_if_idempotent() {
    let mut tracker = StreamTracker::new(settings(), Time::ZERO);
    assert_eq!(
        tracker.handle(Time::ZERO, UpstreamEvent::ReadTimeout),
        StreamAction::Resume(0)
    );
    assert_eq!(
        tracker.handle(Time::ZERO, UpstreamEvent::Unknown),
        StreamAction::Resend
    );
    let step = tracker.handle(Time::ZERO, UpstreamEvent::Unknown);
    assert!(matches!(step, StreamAction::Fail(_)), "{step:?}");

    let once = StreamTrackerSettings {
        idempotent: false,
        ..settings()
    };
    let mut tracker = StreamTracker::new(once, Time::ZERO);
    let step = tracker.handle(Time::ZERO, UpstreamEvent::Unknown);
    assert!(
        matches!(&step, StreamAction::Fail(err) if err.kind == ErrorKind::OutcomeUnknown),
        "{step:?}"
    );
}

#[test]
fn a_quiet_upstream_is_given_up_within_its_limit() {
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
    let step = tracker.handle(Time::from_millis(10), token(1));
    assert!(
        matches!(&step, StreamAction::Fail(err) if err.kind == ErrorKind::DeadlineExceeded),
        "{step:?}"
    );
}

#[test]
fn an_end_before_its_last_token_is_not_believed() {
    let mut tracker = StreamTracker::new(settings(), Time::ZERO);
    let _ = tracker.handle(Time::ZERO, token(1));
    assert_eq!(
        tracker.handle(Time::ZERO + Duration::from_secs(1), end(3)),
        StreamAction::Resume(1)
    );
}
