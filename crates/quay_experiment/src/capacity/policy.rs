//! Policy measurements: CPU time of a routing decision and of an admission.

use {
    crate::capacity::{Slope, slope::min_time_us},
    quay_policy::{
        Admission, AdmissionSettings, ExpectedTime, FixedLimit, RouteRequest, RouteSettings,
        Router, Ticket, TicketId, Verdict,
    },
    quay_types::{
        AccountId, Announcement, CallTarget, Incarnation, Load, ModelId, ProgramId, Time, Tokens,
        UpstreamKind, UpstreamState,
    },
    std::{collections::VecDeque, time::Duration},
};

/// Numbers of upstreams that serve the model.
const UPSTREAMS: [u32; 5] = [75, 150, 300, 600, 1_200];

/// Numbers of calls in the admission queue.
const QUEUED: [u32; 5] = [125, 250, 500, 1_000, 2_000];

/// Number of blocks in a prompt of 6,400 tokens.
const BLOCKS: u64 = 100;

/// Number of decisions that are timed at each size.
const TIMED_DECISIONS: u32 = 500;

/// Returns a router that knows the given number of upstreams.
fn router(upstreams: u32) -> Router<ExpectedTime> {
    let mut router = Router::new(RouteSettings::default(), "a");
    for number in 0..upstreams {
        let announcement = Announcement {
            name: format!("u{number}").into(),
            incarnation: Incarnation(1),
            sequence: 1,
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".into(),
            kind: UpstreamKind::Engine {
                models: [ModelId(0)].into(),
            },
            state: UpstreamState::Serving,
            load: Load {
                running: number % 40,
                ..Load::default()
            },
        };
        router.apply_announcement(Time::ZERO, &announcement);
    }
    router
}

/// Returns the time of one routing decision in microseconds.
fn route(upstreams: u32) -> f64 {
    let mut router = router(upstreams);
    let mut turn = 0;
    min_time_us(TIMED_DECISIONS, || {
        for _ in 0..TIMED_DECISIONS {
            turn += 1;
            let blocks: Vec<u64> = (0..BLOCKS).map(|depth| (turn % 64) << 32 | depth).collect();
            let req = RouteRequest {
                beginning: None,
                target: CallTarget::Model(ModelId(0)),
                program: ProgramId::root(turn % 64),
                has_history: true,
                conversations: &[],
                prompt: Tokens(BLOCKS * 64),
                blocks: &blocks,
                tried: &[],
            };
            std::hint::black_box(router.pick(Time::ZERO, &req, turn));
        }
    })
}

fn ticket(id: u64) -> Ticket {
    Ticket {
        id: TicketId(id),
        account: AccountId(id % 100),
        deadline: Time::ZERO + Duration::from_hours(1),
        ..Ticket::default()
    }
}

/// Returns the time of one admission in microseconds: a call is queued, a running
/// call ends, and a queued call is admitted.
fn admit(queued: u32) -> f64 {
    let mut admission = Admission::<FixedLimit>::new(AdmissionSettings {
        shed_new_after: Duration::ZERO,
        max_queued: 4_000,
        ..AdmissionSettings::default()
    });
    let mut id = 0;
    let mut running: VecDeque<TicketId> = VecDeque::new();
    while admission.queued() < usize::try_from(queued).unwrap_or_default() {
        id += 1;
        admission.enqueue(Time::ZERO, ticket(id));
        running.extend(admitted(&admission.poll(Time::ZERO)));
    }
    min_time_us(TIMED_DECISIONS, || {
        for _ in 0..TIMED_DECISIONS {
            id += 1;
            admission.enqueue(Time::ZERO, ticket(id));
            if let Some(ended) = running.pop_front() {
                admission.finish(Time::ZERO, ended);
            }
            running.extend(admitted(&admission.poll(Time::ZERO)));
        }
    })
}

/// Returns the calls that are admitted by the verdicts.
fn admitted(verdicts: &[Verdict]) -> Vec<TicketId> {
    let admitted = verdicts.iter().filter_map(|verdict| match verdict {
        Verdict::Admit(id) => Some(*id),
        Verdict::Refuse(..) => None,
    });
    admitted.collect()
}

/// Measures the slopes of the policy.
pub fn slopes() -> Vec<Slope> {
    vec![
        Slope::measure("entry.route_cpu", "upstreams", "us", &UPSTREAMS, route),
        Slope::measure("sidecar.admit_cpu", "queued", "us", &QUEUED, admit),
    ]
}
