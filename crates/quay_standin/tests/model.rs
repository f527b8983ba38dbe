//! Tests of the engine model.

use {
    proptest::prelude::*,
    quay_standin::model::{
        CacheChange, EngineModel, Job, JobEvent, JobId, ModelSettings, Order, OrderAction,
        OrderError, WeightStore,
    },
    quay_types::{FenceNumber, ModelId, Time},
    std::time::Duration,
};

/// A job whose first `shared` blocks are the same in all jobs.
fn job(id: u64, shared: u64, prompt: u32, output: u32) -> Job {
    let blocks = (0..u64::from((prompt + output) / 64))
        .map(|depth| {
            if depth < shared {
                depth
            } else {
                (id + 1) << 32 | depth
            }
        })
        .collect();
    Job {
        id: JobId(id),
        blocks,
        shared: u32::try_from(shared).expect("small"),
        prompt,
        output,
        poison: false,
    }
}

/// Runs the engine until it is idle. Returns all events.
fn run_until_idle(engine: &mut EngineModel) -> Vec<JobEvent> {
    while let Some(next) = engine.next_at() {
        engine.advance(next);
    }
    engine.take_events()
}

fn done_at(events: &[JobEvent], id: u64) -> Option<Time> {
    events.iter().find_map(|event| match event {
        JobEvent::Done { job, at } if *job == JobId(id) => Some(*at),
        _ => None,
    })
}

fn cached(events: &[JobEvent], id: u64) -> Option<u32> {
    events.iter().find_map(|event| match event {
        JobEvent::Started { job, cached, .. } if *job == JobId(id) => Some(*cached),
        _ => None,
    })
}

#[test]
fn a_token_takes_longer_in_a_larger_batch() {
    let time = |jobs: u64| {
        let mut engine = EngineModel::new(ModelSettings::default());
        for id in 0..jobs {
            assert!(engine.submit(Time::ZERO, job(id, 0, 64, 200)));
        }
        done_at(&run_until_idle(&mut engine), 0).expect("done")
    };
    assert!(time(1) < time(8));
    assert!(time(8) < time(32));
}

#[test]
fn a_prefix_is_prefilled_once_and_released() {
    let mut engine = EngineModel::new(ModelSettings::default());
    engine.submit(Time::ZERO, job(1, 4, 640, 10));
    let events = run_until_idle(&mut engine);
    assert_eq!(cached(&events, 1), Some(0));
    let done = done_at(&events, 1).expect("done");
    assert_eq!(engine.idle_blocks(), 6);
    engine.submit(done, job(2, 4, 640, 10));
    assert_eq!(cached(&run_until_idle(&mut engine), 2), Some(256));
    engine.release(done, &job(1, 4, 640, 10).blocks);
    engine.submit(done, job(3, 4, 640, 10));
    assert_eq!(cached(&run_until_idle(&mut engine), 3), Some(0));
}

#[test]
fn imported_blocks_are_not_prefilled_again() {
    let mut source = EngineModel::new(ModelSettings::default());
    let mut destination = EngineModel::new(ModelSettings::default());
    let first = job(1, 0, 640, 10);
    source.submit(Time::ZERO, first.clone());
    run_until_idle(&mut source);
    let export = source.export(&first.blocks);
    assert_eq!(destination.import(Time::ZERO, &export, 0), 10);
    destination.submit(Time::ZERO, first);
    // The last token of a prompt is always computed, so its block does not
    // count as cached.
    assert_eq!(cached(&run_until_idle(&mut destination), 1), Some(576));
}

#[test]
fn lost_events_leave_a_gap_that_a_snapshot_closes() {
    let mut engine = EngineModel::new(ModelSettings {
        event_loss_permille: 300,
        ..ModelSettings::default()
    });
    engine.submit(Time::ZERO, job(1, 0, 6_400, 10));
    run_until_idle(&mut engine);
    let events = engine.cache_events(Time::from_millis(60_000));
    let snapshot = engine.cache_snapshot();
    assert_eq!(snapshot.sequence, 100);
    assert_eq!(snapshot.blocks.len(), 100);
    assert!(events.len() < 100 && !events.is_empty());
    assert!(
        events
            .windows(2)
            .all(|pair| pair[0].sequence < pair[1].sequence)
    );
}

#[test]
fn events_and_load_are_published_with_a_delay() {
    let mut engine = EngineModel::new(ModelSettings::default());
    engine.submit(Time::ZERO, job(1, 0, 64, 1));
    engine.advance(Time::from_millis(100));
    assert_eq!(engine.cache_events(Time::from_millis(200)), []);
    assert_eq!(engine.load(Time::from_millis(200)), None);
    let events = engine.cache_events(Time::from_millis(400));
    assert!(matches!(events[0].change, CacheChange::Stored(_)));
    assert!(engine.load(Time::from_millis(300)).is_some());
}

#[test]
fn a_poison_job_ends_all_jobs_and_clears_the_cache() {
    let mut engine = EngineModel::new(ModelSettings::default());
    engine.submit(Time::ZERO, job(1, 0, 64, 100));
    let poison = Job {
        poison: true,
        ..job(2, 0, 64, 100)
    };
    engine.submit(Time::from_millis(100), poison);
    let events = run_until_idle(&mut engine);
    let crashed = |event: &&JobEvent| matches!(event, JobEvent::Crashed { .. });
    assert_eq!(events.iter().filter(crashed).count(), 2);
    assert!(engine.is_down());
    assert!(!engine.submit(Time::from_millis(500), job(3, 0, 64, 1)));
    assert_eq!(engine.cache_snapshot().blocks.len(), 0);
}

#[test]
fn a_stale_fence_is_refused_only_if_the_check_is_enabled() {
    let order = |fence| Order {
        fence: FenceNumber(fence),
        action: OrderAction::Load(ModelId(fence), Duration::from_secs(1)),
    };
    for check_fence in [true, false] {
        let mut engine = EngineModel::new(ModelSettings {
            check_fence,
            ..ModelSettings::default()
        });
        assert_eq!(engine.order(Time::ZERO, order(5)), Ok(()));
        let expected = if check_fence {
            Err(OrderError::StaleFence(FenceNumber(5)))
        } else {
            Ok(())
        };
        assert_eq!(engine.order(Time::ZERO, order(4)), expected);
        assert_eq!(engine.models(Time::ZERO).count(), 0);
    }
}

#[test]
fn the_weight_store_serves_fetches_sequentially() {
    let mut store = WeightStore::new(100);
    assert_eq!(store.fetch(Time::ZERO, 100), Duration::from_secs(1));
    assert_eq!(store.fetch(Time::ZERO, 100), Duration::from_secs(2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Checks that preemption under memory pressure neither loses nor repeats
    /// tokens: each job gets each of its tokens once, in order.
    #[test]
    fn every_job_gets_each_token_once(
        kv_blocks in 24_u32..64,
        jobs in prop::collection::vec((1_u32..900, 1_u32..300, 0_u64..4, 0_u64..2_000), 1..24),
        cancelled in 0_u64..24,
    ) {
        let mut engine = EngineModel::new(ModelSettings { kv_blocks, ..ModelSettings::default() });
        let mut now = Time::ZERO;
        for ((prompt, output, shared, pause), id) in jobs.iter().zip(0..) {
            now = now + Duration::from_millis(*pause);
            prop_assert!(engine.submit(now, job(id, *shared, *prompt, *output)));
        }
        engine.cancel(now, JobId(cancelled));
        let events = run_until_idle(&mut engine);
        prop_assert_eq!(engine.jobs(), 0);
        prop_assert!(engine.cache_snapshot().blocks.len() <= kv_blocks as usize);
        for ((_, output, ..), id) in jobs.iter().zip(0..) {
            let token = |event: &JobEvent| match event {
                JobEvent::Token { job, index, .. } if *job == JobId(id) => Some(*index),
                _ => None,
            };
            let tokens: Vec<u32> = events.iter().filter_map(token).collect();
            let expected: Vec<u32> = (0..*output).collect();
            if id == cancelled {
                prop_assert!(expected.starts_with(&tokens));
            } else {
                prop_assert_eq!(tokens, expected);
                prop_assert!(done_at(&events, id).is_some());
            }
        }
    }
}
