//! Benchmarks of single routing and admission decisions at the design size.

use {
    criterion::{BatchSize, Criterion},
    quay_policy::{
        AdaptiveLimit, Admission, AdmissionSettings, ExpectedTime, RouteRequest, RouteSettings,
        Router, Ticket, TicketId, Verdict,
    },
    quay_types::{
        AccountId, Announcement, CallTarget, Incarnation, Load, ModelId, ProgramId, Time, Tokens,
        UpstreamKind, UpstreamState,
    },
    std::{collections::VecDeque, hint::black_box, time::Duration},
};

/// Number of upstreams known to an entry.
const UPSTREAMS: u32 = 600;

/// Number of models in use.
const MODELS: u32 = 21;

/// Number of calls queued for one upstream.
const QUEUED: u64 = 1_000;

/// Number of blocks in a prompt of 6,400 tokens.
const BLOCKS: u64 = 100;

/// Number of blocks in the longest prompt, 220,000 tokens.
const LONGEST: u64 = 3_437;

/// Router that knows all upstreams. If `all` is set, each upstream serves every
/// model, otherwise one model.
fn router(all: bool) -> Router<ExpectedTime> {
    let mut router = Router::new(RouteSettings::default(), "a");
    for number in 0..UPSTREAMS {
        let models = if all {
            (0..MODELS).map(|model| ModelId(model.into())).collect()
        } else {
            [ModelId((number % MODELS).into())].into()
        };
        let announcement = Announcement {
            name: format!("u{number}").into(),
            incarnation: Incarnation(1),
            sequence: 1,
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".into(),
            kind: UpstreamKind::Engine { models },
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

fn route(c: &mut Criterion) {
    let cases = [
        ("one model each, 100 blocks", false, BLOCKS),
        ("all models, 100 blocks", true, BLOCKS),
        ("all models, 3437 blocks", true, LONGEST),
    ];
    for (name, all, len) in cases {
        let mut router = router(all);
        let prompts: Vec<Vec<u64>> = (0..64_u64)
            .map(|program| (0..len).map(|depth| program << 32 | depth).collect())
            .collect();
        let mut turn = 0_u64;
        c.bench_function(&format!("route over 600 upstreams: {name}"), |b| {
            b.iter(|| {
                turn += 1;
                let program = turn % 64;
                let blocks = &prompts[usize::try_from(program).unwrap_or_default()];
                let req = RouteRequest {
                    beginning: None,
                    target: CallTarget::Model(ModelId(0)),
                    program: ProgramId::root(program),
                    has_history: true,
                    conversations: &[],
                    prompt: Tokens(len * 64),
                    blocks,
                    tried: &[],
                };
                black_box(router.pick(Time::ZERO, &req, turn))
            });
        });
    }
}

fn ticket(id: u64) -> Ticket {
    Ticket {
        id: TicketId(id),
        account: AccountId(id % 100),
        attained: Tokens(id * 7_919 % 100_000),
        deadline: Time::ZERO + Duration::from_hours(1),
        ..Ticket::default()
    }
}

/// Returns the admitted calls.
fn admitted(verdicts: &[Verdict]) -> impl Iterator<Item = TicketId> {
    verdicts.iter().filter_map(|verdict| match verdict {
        Verdict::Admit(id) => Some(*id),
        Verdict::Refuse(..) => None,
    })
}

/// Admission queue of [`QUEUED`] calls in front of an upstream that has as many
/// running calls as its limit allows.
fn full_queue() -> Admission<AdaptiveLimit> {
    let mut queue = Admission::new(AdmissionSettings {
        shed_new_after: Duration::ZERO,
        max_queued: 2_000,
        ..AdmissionSettings::default()
    });
    for id in 0..QUEUED + u64::from(queue.limit()) {
        queue.enqueue(Time::ZERO, ticket(id));
    }
    queue
}

fn admit(c: &mut Criterion) {
    let mut queue = full_queue();
    let mut running: VecDeque<TicketId> = admitted(&queue.poll(Time::ZERO)).collect();
    let mut id = QUEUED * 2;
    let name = "admit with 1000 queued: one enters, one ends, one starts";
    c.bench_function(name, |b| {
        b.iter(|| {
            id += 1;
            queue.enqueue(Time::ZERO, ticket(id));
            if let Some(ended) = running.pop_front() {
                queue.finish(Time::ZERO, ended);
            }
            running.extend(admitted(&queue.poll(Time::ZERO)));
        });
    });
    assert_eq!(queue.queued() as u64, QUEUED);
    c.bench_function("admit with 1000 queued: an upstream drains", |b| {
        b.iter_batched(full_queue, |mut queue| queue.drain(), BatchSize::LargeInput);
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    route(&mut criterion);
    admit(&mut criterion);
    criterion.final_summary();
}
