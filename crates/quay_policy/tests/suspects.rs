//! Tests of quarantine.

use {
    proptest::prelude::*,
    quay_policy::{Clearance, SuspectCommand, SuspectRegistry, SuspectReply, SuspectSettings},
    quay_types::{ContentDigest, Incarnation, Time, UpstreamId},
    std::time::Duration,
};

fn digest(number: usize) -> ContentDigest {
    ContentDigest::of(&[&number.to_le_bytes()])
}

fn crashed(crash: u64, running: &[usize]) -> SuspectCommand {
    SuspectCommand::Crashed {
        at: Time::from_millis(crash),
        upstream: UpstreamId(1),
        incarnation: Incarnation(1),
        crash,
        running: running.iter().map(|number| digest(*number)).collect(),
    }
}

fn ask(suspects: &mut SuspectRegistry, at: Time, number: usize, upstream: u64) -> Clearance {
    let command = SuspectCommand::RequestClearance {
        at,
        digest: digest(number),
        upstream: UpstreamId(upstream),
    };
    match suspects.apply(&command) {
        SuspectReply::Clearance(leave) => leave,
        SuspectReply::Done => panic!("an ask is answered"),
    }
}

fn end(suspects: &mut SuspectRegistry, number: usize, completed: bool) {
    suspects.apply(&SuspectCommand::Ended {
        at: Time::ZERO,
        digest: digest(number),
        completed,
    });
}

#[test]
fn a_suspect_runs_as_the_only_one_and_then_alone() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    assert_eq!(
        ask(&mut suspects, Time::ZERO, 1, 1),
        Clearance::Unrestricted
    );
    suspects.apply(&crashed(1, &[1, 2]));
    assert_eq!(ask(&mut suspects, Time::ZERO, 1, 5), Clearance::OnlySuspect);
    assert_eq!(ask(&mut suspects, Time::ZERO, 1, 6), Clearance::Wait);
    assert_eq!(ask(&mut suspects, Time::ZERO, 2, 5), Clearance::Wait);
    assert_eq!(ask(&mut suspects, Time::ZERO, 2, 6), Clearance::OnlySuspect);
    end(&mut suspects, 2, true);
    assert_eq!(
        ask(&mut suspects, Time::ZERO, 2, 5),
        Clearance::Unrestricted
    );
    suspects.apply(&crashed(2, &[1, 3]));
    assert_eq!(ask(&mut suspects, Time::ZERO, 1, 7), Clearance::Exclusive);
    suspects.apply(&crashed(3, &[1]));
    assert!(matches!(
        ask(&mut suspects, Time::ZERO, 1, 8),
        Clearance::Quarantined(_)
    ));
    assert_eq!(ask(&mut suspects, Time::ZERO, 3, 8), Clearance::OnlySuspect);
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    for _ in 0..3 {
        suspects.apply(&crashed(1, &[1]));
    }
    assert_eq!(ask(&mut suspects, Time::ZERO, 1, 1), Clearance::OnlySuspect);
}

#[test]
fn a_quarantine_lapses_only_if_the_request_is_not_sent_again() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    suspects.apply(&crashed(1, &[1]));
    suspects.apply(&crashed(2, &[1]));
    let minute = Duration::from_mins(1);
    let mut now = Time::ZERO;
    for _ in 0..30 {
        now = now + minute;
        assert!(matches!(
            ask(&mut suspects, now, 1, 1),
            Clearance::Quarantined(_)
        ));
    }
    assert_eq!(suspects.quarantined(now).count(), 1);
    assert_eq!(
        ask(&mut suspects, now + minute * 11, 1, 1),
        Clearance::Exclusive
    );
    suspects.apply(&SuspectCommand::Clear { digest: digest(1) });
    assert_eq!(ask(&mut suspects, now, 1, 1), Clearance::Unrestricted);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Two poison requests, sent again without end among harmless ones, cost at
    /// most three upstreams each, and every harmless request completes.
    #[test]
    fn poison_is_bounded_and_the_rest_completes(
        choices in prop::collection::vec((0_usize..12, 0_u64..4), 200..600),
    ) {
        const POISON: usize = 2;
        const REQUESTS: usize = 12;
        let mut suspects = SuspectRegistry::new(SuspectSettings::default());
        let mut places: Vec<(Vec<usize>, bool)> = vec![(Vec::new(), false); 4];
        let mut completed = [0_u32; REQUESTS];
        let mut losses = [0_u32; POISON];
        let mut crash = 0;
        // After the random choices each request is sent a few times more.
        let rounds = (0..40).flat_map(|round| (0..REQUESTS).map(move |request| (request, round % 4)));
        for ((request, upstream), step) in choices.into_iter().chain(rounds).zip(0..) {
            let now = Time::from_millis(step);
            let at = usize::try_from(upstream).expect("small");
            let runs_already = places.iter().any(|(running, _)| running.contains(&request));
            if !runs_already && !places[at].1 {
                let leave = ask(&mut suspects, now, request, upstream);
                let fits = match leave {
                    Clearance::Unrestricted | Clearance::OnlySuspect => true,
                    Clearance::Exclusive => places[at].0.is_empty(),
                    Clearance::Wait | Clearance::Quarantined(_) => false,
                };
                if matches!(leave, Clearance::Quarantined(_)) {
                    prop_assert!(request < POISON, "harmless request {} in quarantine", request);
                }
                if fits {
                    places[at].0.push(request);
                    places[at].1 = leave == Clearance::Exclusive;
                } else if leave == Clearance::Exclusive {
                    end(&mut suspects, request, false);
                }
            }
            // Each third step an upstream comes to the end of what it runs.
            if step % 3 == 0 {
                let place = usize::try_from(step / 3 % 4).expect("small");
                let (running, _) = std::mem::take(&mut places[place]);
                let poison: Vec<usize> = running.iter().copied().filter(|id| *id < POISON).collect();
                if poison.is_empty() {
                    for id in running {
                        completed[id] += 1;
                        end(&mut suspects, id, true);
                    }
                } else {
                    crash += 1;
                    suspects.apply(&crashed(crash, &running));
                    for id in poison {
                        losses[id] += 1;
                    }
                }
            }
        }
        prop_assert!(losses.iter().all(|lost| *lost <= 3), "{:?}", losses);
        prop_assert!(completed[POISON..].iter().all(|count| *count > 0), "{:?}", completed);
    }
}
