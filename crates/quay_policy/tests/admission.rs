//! Tests of the admission queue in front of an upstream.

use {
    proptest::prelude::*,
    quay_policy::{
        AdaptiveLimit, Admission, AdmissionSettings, FixedLimit, NewProgram, NewProgramGate,
        Observation, ProgramAdmission, RecentDelays, SlotUse, Ticket, TicketId, Verdict,
    },
    quay_types::{AccountId, ErrorKind, Time, Tokens, UpstreamId},
    std::time::Duration,
};

fn ticket(id: u64, attained: u64) -> Ticket {
    Ticket {
        id: TicketId(id),
        attained: Tokens(attained),
        deadline: Time::from_millis(1_000_000),
        ..Ticket::default()
    }
}

/// Queue that admits one call at a time and does not shed load.
fn one_at_a_time() -> Admission<FixedLimit> {
    Admission::new(AdmissionSettings {
        max_limit: 1,
        shed_new_after: Duration::ZERO,
        ..AdmissionSettings::default()
    })
}

fn admitted(verdicts: &[Verdict]) -> Vec<u64> {
    let id = |verdict: &Verdict| match verdict {
        Verdict::Admit(id) => Some(id.0),
        Verdict::Refuse(..) => None,
    };
    verdicts.iter().filter_map(id).collect()
}

/// Returns the order in which queued calls start if each ends before the next
/// one starts.
fn start_order(queue: &mut Admission<FixedLimit>) -> Vec<u64> {
    let mut started = Vec::new();
    let mut now = Time::ZERO;
    while let [id] = admitted(&queue.poll(now))[..] {
        started.push(id);
        now = now + Duration::from_millis(1);
        queue.finish(now, TicketId(id));
    }
    started
}

#[test]
fn a_sub_agent_overtakes_earlier_calls() {
    let mut queue = one_at_a_time();
    queue.enqueue(Time::ZERO, ticket(1, 0));
    queue.enqueue(
        Time::ZERO + Duration::from_millis(1),
        Ticket {
            depth: 1,
            ..ticket(2, 0)
        },
    );
    assert_eq!(
        start_order(&mut queue),
        [1, 2],
        "the virtual start time cannot precede time zero"
    );
    let later = Time::from_millis(60_000);
    queue.enqueue(later, ticket(3, 0));
    queue.enqueue(
        later + Duration::from_millis(1),
        Ticket {
            depth: 1,
            ..ticket(4, 0)
        },
    );
    assert_eq!(start_order(&mut queue), [4, 3]);
}

#[test]
fn an_account_over_its_share_is_queued_behind_another() {
    let mut queue = one_at_a_time();
    let call_of = |id, account| Ticket {
        account: AccountId(account),
        ..ticket(id, 0)
    };
    let mut now = Time::ZERO;
    for id in 0..4 {
        queue.enqueue(now, call_of(id, 1));
        queue.poll(now);
        now = now + Duration::from_secs(2);
        queue.finish(now, TicketId(id));
    }
    queue.enqueue(now, call_of(10, 1));
    queue.enqueue(now, call_of(11, 1));
    queue.enqueue(now + Duration::from_millis(500), call_of(12, 2));
    assert_eq!(admitted(&queue.poll(now))[..], [12]);
}

#[test]
fn new_programs_are_shed_before_started_ones() {
    let mut queue = Admission::<FixedLimit>::new(AdmissionSettings {
        max_limit: 1,
        ..AdmissionSettings::default()
    });
    queue.enqueue(Time::ZERO, ticket(1, 0));
    queue.poll(Time::ZERO);
    queue.enqueue(Time::ZERO, ticket(2, 500));
    queue.enqueue(Time::ZERO, ticket(3, 0));
    queue.enqueue(Time::ZERO, ticket(4, 500));
    let verdicts = queue.poll(Time::ZERO);
    let [Verdict::Refuse(id, err)] = &verdicts[..] else {
        panic!("{verdicts:?}");
    };
    assert_eq!((*id, err.kind), (TicketId(3), ErrorKind::Overloaded));
    assert!(err.kind.not_run());
    assert_eq!(err.retry_after_s(), Some(3));
    assert_eq!(queue.queued(), 2);
}

#[test]
fn a_queued_call_is_refused_when_its_deadline_passes() {
    let mut queue = one_at_a_time();
    let soon = Ticket {
        deadline: Time::from_millis(500),
        ..ticket(2, 500)
    };
    queue.enqueue(Time::ZERO, ticket(1, 0));
    queue.poll(Time::ZERO);
    queue.enqueue(Time::ZERO, soon);
    assert_eq!(queue.poll(Time::from_millis(499)), []);
    let verdicts = queue.poll(Time::from_millis(500));
    assert!(
        matches!(&verdicts[..], [Verdict::Refuse(TicketId(2), err)] if err.kind == ErrorKind::DeadlineNotRun)
    );
}

#[test]
fn a_full_queue_refuses_the_last_new_program() {
    let mut queue = Admission::<FixedLimit>::new(AdmissionSettings {
        max_limit: 1,
        max_queued: 2,
        shed_new_after: Duration::ZERO,
        ..AdmissionSettings::default()
    });
    for id in 0..4 {
        queue.enqueue(Time::ZERO, ticket(id, 0));
    }
    let refused = |verdicts: &[Verdict]| {
        let id = |verdict: &Verdict| match verdict {
            Verdict::Refuse(id, _) => Some(id.0),
            Verdict::Admit(_) => None,
        };
        verdicts.iter().filter_map(id).collect::<Vec<_>>()
    };
    assert_eq!(refused(&queue.poll(Time::ZERO)), [2, 3]);
    queue.enqueue(Time::ZERO, ticket(8, 10));
    queue.enqueue(Time::ZERO, ticket(9, 10));
    assert_eq!(refused(&queue.poll(Time::ZERO)), [1]);
}

#[test]
fn an_exclusive_call_runs_alone() {
    let mut queue = Admission::<AdaptiveLimit>::new(AdmissionSettings::default());
    let exclusive = Ticket {
        exclusive: true,
        ..ticket(2, 0)
    };
    queue.enqueue(Time::ZERO, ticket(1, 0));
    assert_eq!(admitted(&queue.poll(Time::ZERO)), [1]);
    queue.enqueue(Time::ZERO, exclusive);
    queue.enqueue(Time::ZERO, ticket(3, 0));
    assert_eq!(admitted(&queue.poll(Time::ZERO)), [0; 0]);
    queue.finish(Time::ZERO, TicketId(1));
    assert_eq!(admitted(&queue.poll(Time::ZERO)), [2]);
    queue.finish(Time::ZERO, TicketId(2));
    assert_eq!(admitted(&queue.poll(Time::ZERO)), [3]);
}

#[test]
fn a_draining_upstream_refuses_queued_calls_and_lets_running_ones_finish() {
    let mut queue = one_at_a_time();
    queue.enqueue(Time::ZERO, ticket(1, 0));
    queue.poll(Time::ZERO);
    queue.enqueue(Time::ZERO, ticket(2, 0));
    queue.drain();
    queue.enqueue(Time::ZERO, ticket(3, 0));
    let verdicts = queue.poll(Time::ZERO);
    let draining = |verdict: &Verdict| matches!(verdict, Verdict::Refuse(_, err) if err.kind == ErrorKind::Draining);
    assert_eq!(verdicts.len(), 2);
    assert!(verdicts.iter().all(draining));
    assert_eq!(queue.running(), 1);
}

#[test]
fn the_limit_falls_when_tokens_slow_down_and_rises_when_calls_wait() {
    let mut queue = Admission::<AdaptiveLimit>::new(AdmissionSettings {
        shed_new_after: Duration::ZERO,
        ..AdmissionSettings::default()
    });
    for id in 0..200 {
        queue.enqueue(Time::ZERO, ticket(id, 0));
    }
    queue.poll(Time::ZERO);
    let before = queue.limit();
    let seen = |gap| Observation {
        token_gap: Duration::from_millis(gap),
        kv_permille: 500,
    };
    queue.observe(Time::from_millis(300), seen(20));
    assert_eq!(queue.limit(), before + 1);
    queue.observe(Time::from_millis(600), seen(60));
    assert!(queue.limit() < before);
    queue.observe(Time::from_millis(601), seen(60));
    assert!(
        queue.limit() >= before - before / 8,
        "the limit changes at most once per interval"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Every call gets one verdict, the limit of running calls holds, and a call
    /// is overtaken only by calls that arrive within `bound` after it.
    #[test]
    fn verdicts_are_single_and_waits_are_bounded(
        steps in prop::collection::vec((0_u64..5_000, 0_u64..200_000, 0_u8..3, 0_u64..3, 0_u8..4), 1..80),
    ) {
        let cfg = AdmissionSettings { start_limit: 4, max_limit: 4, ..AdmissionSettings::default() };
        let bound = cfg.max_account_delay + cfg.sub_agent_lead * 2;
        let mut queue = Admission::<AdaptiveLimit>::new(cfg);
        let mut now = Time::from_millis(1_000_000);
        let (mut queued, mut running) = (indexmap::IndexMap::new(), Vec::new());
        let mut verdicts = 0;
        for ((pause, attained, depth, account, action), id) in steps.iter().zip(0_u64..) {
            now = now + Duration::from_millis(*pause);
            if *action == 0 && !running.is_empty() {
                queue.finish(now, running.remove(0));
            }
            let ticket = Ticket {
                id: TicketId(id),
                account: AccountId(*account),
                attained: Tokens(*attained),
                depth: *depth,
                deadline: now + Duration::from_mins(1),
                ..Ticket::default()
            };
            queued.insert(ticket.id, now);
            queue.enqueue(now, ticket);
            for verdict in queue.poll(now) {
                verdicts += 1;
                let (Verdict::Admit(id) | Verdict::Refuse(id, _)) = verdict;
                let at = queued.shift_remove(&id).expect("each call must get exactly one verdict");
                if let Verdict::Admit(id) = verdict {
                    running.push(id);
                    let overtaking = queued.values().filter(|other| **other + bound < at).count();
                    prop_assert_eq!(overtaking, 0);
                }
            }
            prop_assert!(queue.running() <= 4);
            prop_assert_eq!(queue.running(), running.len());
            prop_assert_eq!(queue.queued(), queued.len());
        }
        let end = now + Duration::from_mins(2);
        for id in running {
            queue.finish(end, id);
        }
        verdicts += queue.poll(end).len();
        prop_assert_eq!(verdicts, steps.len());
    }
}

// ---------------------------------------------------------------------------
// New programs

const OBJECTIVE: Duration = Duration::from_millis(200);

/// Gate after many calls with the same wait.
fn gate(wait: Duration) -> NewProgramGate {
    let mut gate = NewProgramGate::default();
    for _ in 0..200 {
        gate.record_wait(Time::ZERO, wait, OBJECTIVE);
    }
    gate
}

/// Number of 1,000 new programs that are refused.
fn refused(gate: &NewProgramGate, now: Time, most_urgent: bool) -> usize {
    let program = |draw| NewProgram {
        objective: OBJECTIVE,
        most_urgent,
        draw,
    };
    (0..1_000)
        .filter(|draw| gate.refuses(now, &program(*draw)))
        .count()
}

#[test]
fn the_share_of_refused_programs_rises_with_the_wait() {
    let shares = [40, 70, 90, 120].map(|wait| {
        let gate = gate(Duration::from_millis(wait));
        refused(&gate, Time::ZERO, false)
    });
    assert_eq!((shares[0], shares[3]), (0, 1_000), "{shares:?}");
    assert!(0 < shares[1] && shares[1] < shares[2], "{shares:?}");
}

#[test]
fn less_urgent_programs_are_refused_first() {
    let gate = gate(Duration::from_millis(100));
    assert!(refused(&gate, Time::ZERO, false) > 900);
    assert_eq!(refused(&gate, Time::ZERO, true), 0);
}

#[test]
fn new_programs_are_admitted_again_when_no_calls_follow() {
    let gate = gate(OBJECTIVE);
    assert!(refused(&gate, Time::ZERO, true) > 990);
    assert_eq!(refused(&gate, Time::from_millis(2_000), false), 0);
}

#[test]
fn calls_held_up_for_seconds_do_not_stand_for_all() {
    let mut gate = gate(Duration::from_millis(30));
    for _ in 0..2 {
        gate.record_wait(Time::ZERO, Duration::from_secs(6), OBJECTIVE);
    }
    assert_eq!(refused(&gate, Time::ZERO, true), 0);
    for _ in 0..40 {
        gate.record_wait(Time::ZERO, Duration::from_millis(30), OBJECTIVE);
    }
    assert_eq!(refused(&gate, Time::ZERO, false), 0);
}

#[test]
fn programs_without_an_objective_are_not_refused() {
    let mut gate = gate(OBJECTIVE);
    let program = NewProgram {
        objective: Duration::ZERO,
        most_urgent: false,
        draw: 0,
    };
    assert!(!gate.refuses(Time::ZERO, &program));
    let before = gate.expected_wait(Time::ZERO);
    gate.record_wait(Time::ZERO, Duration::from_secs(1), Duration::ZERO);
    assert_eq!(gate.expected_wait(Time::ZERO), before);
}

/// Whether a new program is refused at `now`, after upstreams have reported `requests` of
/// 10 slots and the host was late by `delays`, both at time zero.
fn refuses(now: Time, reports: u64, requests: u32, delays: &[u64]) -> bool {
    let mut admission = ProgramAdmission::default();
    for id in 0..reports {
        let slot_use = SlotUse {
            requests,
            slots: 10,
        };
        admission.record_slot_use(Time::ZERO, UpstreamId(id), slot_use);
    }
    let mut host_delays = RecentDelays::default();
    for delay in delays {
        host_delays.record(Time::ZERO, Duration::from_millis(*delay));
    }
    let program = NewProgram {
        objective: OBJECTIVE,
        most_urgent: false,
        draw: 0,
    };
    admission.refuse(now, &program, &host_delays).is_some()
}

/// Guards against refusals for inputs that are missing, old or not lasting, and while
/// there is room.
#[test]
fn only_fresh_queues_and_lasting_delays_refuse_new_programs() {
    let now = Time::from_millis(400);
    assert!(refuses(now, 4, 11, &[]) && refuses(now, 0, 0, &[150, 150]));
    assert!(!refuses(now, 4, 10, &[]), "room");
    assert!(!refuses(now, 3, 11, &[]), "few reports");
    assert!(!refuses(Time::from_millis(500), 4, 11, &[]), "old reports");
    assert!(!refuses(now, 0, 0, &[150]), "one measurement");
    assert!(!refuses(now, 0, 0, &[0, 2_000]), "a pause");
    assert!(!refuses(Time::from_millis(2_000), 0, 0, &[150, 150]), "old");
}
