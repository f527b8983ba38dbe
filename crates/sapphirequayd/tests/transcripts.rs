//! The transcript passes each token on once and in order, whatever connections do.

use {
    proptest::prelude::*,
    quay_types::{ErrorKind, FinishReason, Time, Tokens},
    sapphirequayd::{Input, Step, Transcript, TranscriptSettings, Usage},
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

fn token(position: u64) -> Input {
    Input::Text {
        position,
        tokens: 1,
        text: word(position),
    }
}

fn end(position: u64) -> Input {
    Input::End {
        position: Some(position),
        finish: FinishReason::Stop,
        usage: Usage::default(),
    }
}

fn settings() -> TranscriptSettings {
    TranscriptSettings::default()
}

proptest! {
    #[test]
    fn the_answer_has_neither_gap_nor_repeat(
        tokens in 1..60_u64,
        faults in prop::collection::vec((1..12_u64, fault()), 0..12),
    ) {
        let mut transcript = Transcript::new(settings(), Time::ZERO);
        let mut faults = faults.into_iter();
        let mut answer = String::new();
        let mut next = 1_u64;
        let (mut until, mut fault) = faults.next().unwrap_or((u64::MAX, Fault::Silent));
        for _ in 0..1_000 {
            let input = if until == 0 {
                let input = match fault {
                    Fault::Silent => Input::Silent,
                    Fault::Broken => Input::Broken,
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
            match transcript.take(Time::ZERO, input) {
                Step::Pass { offset, text, tokens } => {
                    prop_assert_eq!(offset, answer.len() as u64);
                    prop_assert_eq!(tokens, 1);
                    answer.push_str(&text);
                    next += 1;
                }
                Step::Read => next += 1,
                Step::Resume(seen) => next = seen + 1,
                Step::End(..) => {
                    let whole: String = (1..=tokens).map(word).collect();
                    prop_assert_eq!(answer, whole);
                    return Ok(());
                }
                // Connections that break too often end the attempt.
                Step::Fail(err) => {
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
        let settings = TranscriptSettings { max_output: Tokens(limit), ..settings() };
        let mut transcript = Transcript::new(settings, Time::ZERO);
        let mut passed = 0;
        for position in 1..=tokens {
            match transcript.take(Time::ZERO, token(position)) {
                Step::Pass { tokens, .. } => passed += u64::from(tokens),
                Step::Cut(usage) => {
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
    let mut transcript = Transcript::new(settings(), Time::ZERO);
    let step = transcript.take(Time::ZERO, Input::Unreachable);
    assert!(
        matches!(&step, Step::NotRun(err) if err.kind.not_run()),
        "{step:?}"
    );
}

#[test]
fn a_connection_refused_later_may_have_run() {
    for (idempotent, kind) in [
        (true, ErrorKind::UpstreamLost),
        (false, ErrorKind::OutcomeUnknown),
    ] {
        for first in [token(1), Input::Silent, Input::Broken] {
            let settings = TranscriptSettings {
                idempotent,
                ..settings()
            };
            let mut transcript = Transcript::new(settings, Time::ZERO);
            let _ = transcript.take(Time::ZERO, first.clone());
            let step = transcript.take(Time::ZERO, Input::Unreachable);
            assert!(
                matches!(&step, Step::Fail(err) if err.kind == kind),
                "after {first:?}: {step:?}"
            );
        }
    }
}

#[test]
fn a_request_that_got_lost_is_repeated_once_if_idempotent() {
    let mut transcript = Transcript::new(settings(), Time::ZERO);
    assert_eq!(transcript.take(Time::ZERO, Input::Silent), Step::Resume(0));
    assert_eq!(transcript.take(Time::ZERO, Input::Unknown), Step::Repeat);
    let step = transcript.take(Time::ZERO, Input::Unknown);
    assert!(matches!(step, Step::Fail(_)), "{step:?}");

    let once = TranscriptSettings {
        idempotent: false,
        ..settings()
    };
    let mut transcript = Transcript::new(once, Time::ZERO);
    let step = transcript.take(Time::ZERO, Input::Unknown);
    assert!(
        matches!(&step, Step::Fail(err) if err.kind == ErrorKind::OutcomeUnknown),
        "{step:?}"
    );
}

#[test]
fn a_quiet_upstream_is_given_up_within_its_limit() {
    let mut transcript = Transcript::new(settings(), Time::ZERO);
    let limit = settings().quiet_limit;
    let early = transcript.take(Time::ZERO + limit / 2, Input::Silent);
    assert_eq!(early, Step::Resume(0));
    let late = transcript.take(Time::ZERO + limit, Input::Silent);
    assert!(matches!(late, Step::Fail(_)), "{late:?}");
}

#[test]
fn the_deadline_ends_an_attempt() {
    let settings = TranscriptSettings {
        deadline: Time::from_millis(10),
        ..settings()
    };
    let mut transcript = Transcript::new(settings, Time::ZERO);
    let step = transcript.take(Time::from_millis(10), token(1));
    assert!(
        matches!(&step, Step::Fail(err) if err.kind == ErrorKind::DeadlineExceeded),
        "{step:?}"
    );
}

#[test]
fn an_end_before_its_last_token_is_not_believed() {
    let mut transcript = Transcript::new(settings(), Time::ZERO);
    let _ = transcript.take(Time::ZERO, token(1));
    assert_eq!(
        transcript.take(Time::ZERO + Duration::from_secs(1), end(3)),
        Step::Resume(1)
    );
}
