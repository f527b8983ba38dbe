//! Tests of the quarantine of requests that crash upstreams.

use {
    proptest::prelude::*,
    quay_policy::{
        Clearance, SuspectCommand, SuspectEvent, SuspectRegistry, SuspectReply, SuspectSettings,
    },
    quay_types::{AccountId, ContentDigest, Incarnation, RequestContent, Time, UpstreamId},
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

fn request_clearance(
    suspects: &mut SuspectRegistry,
    at: Time,
    number: usize,
    upstream: u64,
) -> Clearance {
    let command = SuspectCommand::RequestClearance {
        at,
        digest: digest(number),
        upstream: UpstreamId(upstream),
    };
    match suspects.apply(&command) {
        SuspectReply::Clearance(clearance) => clearance,
        SuspectReply::Done => panic!("a clearance request must get a clearance"),
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
fn a_suspect_runs_as_the_only_suspect_and_then_alone() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 1, 1),
        Clearance::Unrestricted
    );
    suspects.apply(&crashed(1, &[1, 2]));
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 1, 5),
        Clearance::OnlySuspect
    );
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 1, 6),
        Clearance::Wait
    );
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 2, 5),
        Clearance::Wait
    );
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 2, 6),
        Clearance::OnlySuspect
    );
    end(&mut suspects, 2, true);
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 2, 5),
        Clearance::Unrestricted
    );
    suspects.apply(&crashed(2, &[1, 3]));
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 1, 7),
        Clearance::Exclusive
    );
    suspects.apply(&crashed(3, &[1]));
    assert!(matches!(
        request_clearance(&mut suspects, Time::ZERO, 1, 8),
        Clearance::Quarantined(_)
    ));
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 3, 8),
        Clearance::OnlySuspect
    );
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    for _ in 0..3 {
        suspects.apply(&crashed(1, &[1]));
    }
    assert_eq!(
        request_clearance(&mut suspects, Time::ZERO, 1, 1),
        Clearance::OnlySuspect
    );
}

#[test]
fn a_quarantine_ends_only_if_the_request_is_not_sent_again() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    suspects.apply(&crashed(1, &[1]));
    suspects.apply(&crashed(2, &[1]));
    let minute = Duration::from_mins(1);
    let mut now = Time::ZERO;
    for _ in 0..30 {
        now = now + minute;
        assert!(matches!(
            request_clearance(&mut suspects, now, 1, 1),
            Clearance::Quarantined(_)
        ));
    }
    assert_eq!(suspects.quarantined(now).count(), 1);
    assert_eq!(
        request_clearance(&mut suspects, now + minute * 11, 1, 1),
        Clearance::Exclusive
    );
    suspects.apply(&SuspectCommand::Clear { digest: digest(1) });
    assert_eq!(
        request_clearance(&mut suspects, now, 1, 1),
        Clearance::Unrestricted
    );
}

// ---------------------------------------------------------------------------
// Entries that know only their own runs

/// An entry lost runs by the crash of an upstream.
fn lost(upstream: u64, runs: &[usize]) -> SuspectEvent {
    SuspectEvent::RunsLost {
        upstream: UpstreamId(upstream),
        incarnation: Incarnation(1),
        runs: runs.iter().map(|number| digest(*number)).collect(),
    }
}

fn observe(suspects: &mut SuspectRegistry, at: Time, events: Vec<SuspectEvent>) {
    let events = events.into();
    suspects.apply(&SuspectCommand::Observed { at, events });
}

fn quarantined(suspects: &SuspectRegistry, now: Time) -> Vec<ContentDigest> {
    suspects
        .quarantined(now)
        .map(|(digest, _)| digest)
        .collect()
}

#[test]
fn a_crash_that_several_entries_report_counts_once_for_each_request() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    for _ in 0..5 {
        observe(&mut suspects, Time::ZERO, vec![lost(1, &[1, 2])]);
        observe(&mut suspects, Time::ZERO, vec![lost(1, &[3])]);
        observe(&mut suspects, Time::ZERO, vec![lost(2, &[1])]);
    }
    assert_eq!(quarantined(&suspects, Time::ZERO), []);
    observe(&mut suspects, Time::ZERO, vec![lost(3, &[1, 4])]);
    assert_eq!(quarantined(&suspects, Time::ZERO), [digest(1)]);
}

#[test]
fn a_request_beside_the_cause_of_three_crashes_is_not_quarantined() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    for upstream in 1..=3 {
        observe(&mut suspects, Time::ZERO, vec![lost(upstream, &[1, 2])]);
    }
    assert_eq!(quarantined(&suspects, Time::ZERO), []);
    // The completion of one of them shows that it was the other.
    let mut cleared = suspects.clone();
    observe(
        &mut cleared,
        Time::ZERO,
        vec![SuspectEvent::Completed(digest(2))],
    );
    assert_eq!(quarantined(&cleared, Time::ZERO), [digest(1)]);
    // So does a crash of one alone.
    observe(&mut suspects, Time::ZERO, vec![lost(4, &[1])]);
    assert_eq!(quarantined(&suspects, Time::ZERO), [digest(1)]);
}

#[test]
fn two_causes_of_the_same_crashes_are_quarantined_at_the_fourth() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    for upstream in 1..=4 {
        observe(&mut suspects, Time::ZERO, vec![lost(upstream, &[1, 2])]);
    }
    assert_eq!(quarantined(&suspects, Time::ZERO), [digest(1), digest(2)]);
}

#[test]
fn a_completed_run_clears_a_request_that_many_callers_send() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    for upstream in 0..20 {
        observe(&mut suspects, Time::ZERO, vec![lost(upstream, &[1])]);
        if upstream % 2 == 1 {
            assert!(suspects.listed().is_suspect(digest(1)), "entries must know");
            observe(
                &mut suspects,
                Time::ZERO,
                vec![SuspectEvent::Completed(digest(1))],
            );
        }
        assert_eq!(quarantined(&suspects, Time::ZERO), []);
    }
}

#[test]
fn a_quarantine_without_clearance_ends_and_doubles_with_the_next_crash() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    for upstream in 1..=3 {
        observe(&mut suspects, Time::ZERO, vec![lost(upstream, &[1])]);
    }
    let minutes = |minutes| Time::ZERO + Duration::from_mins(minutes);
    assert!(suspects.is_quarantined(minutes(9), digest(1)));
    assert!(!suspects.is_quarantined(minutes(11), digest(1)));
    observe(&mut suspects, minutes(11), vec![lost(4, &[1])]);
    assert!(suspects.is_quarantined(minutes(30), digest(1)));
    assert!(!suspects.is_quarantined(minutes(32), digest(1)));
}

#[test]
fn the_list_for_entries_holds_the_same_quarantines() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    for upstream in 1..=3 {
        let neighbour = usize::try_from(upstream).expect("small") + 10;
        observe(
            &mut suspects,
            Time::ZERO,
            vec![lost(upstream, &[1, 2, neighbour])],
        );
    }
    let listed = suspects.listed();
    assert!(!listed.is_suspect(digest(11)), "one strike needs no action");
    assert_eq!(quarantined(&listed, Time::ZERO), []);
    observe(&mut suspects, Time::ZERO, vec![lost(4, &[2])]);
    assert_eq!(quarantined(&suspects.listed(), Time::ZERO), [digest(2)]);
}

#[test]
fn fresh_suspects_do_not_displace_one_with_more_strikes() {
    let cfg = SuspectSettings::default();
    let mut suspects = SuspectRegistry::new(cfg);
    let at = Time::from_millis;
    observe(&mut suspects, at(0), vec![lost(1, &[0])]);
    observe(&mut suspects, at(1), vec![lost(2, &[0])]);
    for number in 1..=cfg.max_suspects {
        let upstream = u64::from(number) + 10;
        observe(
            &mut suspects,
            at(2),
            vec![lost(upstream, &[number as usize])],
        );
    }
    observe(&mut suspects, at(3), vec![lost(3, &[0])]);
    assert_eq!(quarantined(&suspects, at(3)), [digest(0)]);
}

#[test]
fn crashes_of_an_upstream_that_does_not_tell_its_starts_add_up() {
    let mut suspects = SuspectRegistry::new(SuspectSettings::default());
    let at = |minute| Time::ZERO + Duration::from_mins(minute);
    for minute in 0..3 {
        assert_eq!(quarantined(&suspects, at(minute)), []);
        // Two entries report the crash, one of them late.
        observe(&mut suspects, at(minute), vec![lost(1, &[1])]);
        let late = at(minute) + Duration::from_secs(4);
        observe(&mut suspects, late, vec![lost(1, &[1])]);
    }
    assert_eq!(quarantined(&suspects, at(2)), [digest(1)]);
}

proptest! {
    /// The reports of all entries give the same quarantines in every order.
    #[test]
    fn the_order_of_reports_does_not_matter(
        reports in prop::collection::vec((0_u64..6, prop::collection::vec(0_usize..5, 1..4)), 1..16),
        order in any::<prop::sample::Index>(),
    ) {
        let mut first = SuspectRegistry::new(SuspectSettings::default());
        let mut second = first.clone();
        for (upstream, runs) in &reports {
            observe(&mut first, Time::ZERO, vec![lost(*upstream, runs)]);
        }
        let start = order.index(reports.len());
        let rotated = reports[start..].iter().rev().chain(reports[..start].iter().rev());
        for (upstream, runs) in rotated {
            observe(&mut second, Time::ZERO, vec![lost(*upstream, runs)]);
        }
        let sorted = |suspects: &SuspectRegistry| {
            let mut digests = quarantined(suspects, Time::ZERO);
            digests.sort_unstable();
            digests
        };
        prop_assert_eq!(sorted(&first), sorted(&second));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Two poison requests that are resent indefinitely among harmless requests
    /// crash at most three upstreams each, and every harmless request completes.
    #[test]
    fn poison_losses_are_bounded_and_harmless_requests_complete(
        choices in prop::collection::vec((0_usize..12, 0_u64..4), 200..600),
    ) {
        const POISON: usize = 2;
        const REQUESTS: usize = 12;
        let mut suspects = SuspectRegistry::new(SuspectSettings::default());
        let mut upstreams: Vec<(Vec<usize>, bool)> = vec![(Vec::new(), false); 4];
        let mut completed = [0_u32; REQUESTS];
        let mut losses = [0_u32; POISON];
        let mut crash = 0;
        // After the random steps each request is sent ten more times to each
        // upstream.
        let rounds = (0..40).flat_map(|round| (0..REQUESTS).map(move |request| (request, round % 4)));
        for ((request, upstream), step) in choices.into_iter().chain(rounds).zip(0..) {
            let now = Time::from_millis(step);
            let at = usize::try_from(upstream).expect("number in range");
            let already_running = upstreams.iter().any(|(running, _)| running.contains(&request));
            if !already_running && !upstreams[at].1 {
                let clearance = request_clearance(&mut suspects, now, request, upstream);
                let may_run = match clearance {
                    Clearance::Unrestricted | Clearance::OnlySuspect => true,
                    Clearance::Exclusive => upstreams[at].0.is_empty(),
                    Clearance::Wait | Clearance::Quarantined(_) => false,
                };
                if matches!(clearance, Clearance::Quarantined(_)) {
                    prop_assert!(request < POISON, "harmless request {} was quarantined", request);
                }
                if may_run {
                    upstreams[at].0.push(request);
                    upstreams[at].1 = clearance == Clearance::Exclusive;
                } else if clearance == Clearance::Exclusive {
                    end(&mut suspects, request, false);
                }
            }
            // On every third step one upstream finishes its running requests, or
            // crashes if one of them is poison.
            if step % 3 == 0 {
                let ending = usize::try_from(step / 3 % 4).expect("number in range");
                let (running, _) = std::mem::take(&mut upstreams[ending]);
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

/// Guards against a quarantine that begins anew when the caller of a request gets an account
/// or loses it, and against one that two accounts share.
#[test]
fn crashes_count_whichever_account_the_caller_had() {
    let content = digest(1);
    let of = |account: Option<&str>| RequestContent::new(account.map(AccountId::of), content);
    for (before, after) in [(None, Some("a")), (Some("a"), None)] {
        let mut suspects = SuspectRegistry::new(SuspectSettings::default());
        let mut crash = |upstream, content: RequestContent| {
            let lost = SuspectEvent::RunsLost {
                upstream: UpstreamId(upstream),
                incarnation: Incarnation(1),
                runs: [content.own].into(),
            };
            suspects.apply(&SuspectCommand::Observed {
                at: Time::ZERO,
                events: [lost].into(),
            });
            suspects.is_quarantined(Time::ZERO, of(after))
        };
        assert!(!crash(1, of(before)));
        assert!(!crash(2, of(before)));
        assert!(crash(3, of(after)), "{before:?} and {after:?}");
        assert!(suspects.is_quarantined(Time::ZERO, of(before)));
        let b = suspects.is_quarantined(Time::ZERO, of(Some("b")));
        assert!(!b, "another account's request has crashed fewer upstreams");
        assert_eq!(suspects.suspects_of(of(after)).count(), 2);
    }
}
