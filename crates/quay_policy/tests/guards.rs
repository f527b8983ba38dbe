//! Tests of retry budgets, quota leases, retention, placement and program
//! blocks.

use {
    proptest::prelude::*,
    quay_policy::{
        Placement, PlacementSettings, PlacementView, ProgramBlocks, QuotaAllocator, QuotaHolder,
        QuotaLease, QuotaSettings, Retention, RetentionAction, RetentionSettings, RetryBudgets,
        RetrySettings,
    },
    quay_types::{AccountId, FenceNumber, ModelId, ProgramId, Time, UpstreamId},
    std::time::Duration,
};

#[test]
fn retries_stay_within_the_budgets_of_account_and_group() {
    let mut budgets = RetryBudgets::new(RetrySettings::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.record_first_attempt(AccountId(1), 1);
        for _ in 0..3 {
            retries += u32::from(budgets.try_retry(AccountId(1), 1));
        }
    }
    assert!((100..=110).contains(&retries), "{retries}");
    assert!(
        !budgets.try_retry(AccountId(2), 1),
        "the budget of group 1 is exhausted"
    );
    assert!(budgets.try_retry(AccountId(2), 2));
}

#[test]
fn leases_follow_the_demand_of_holders() {
    let mut allocator = QuotaAllocator::new(QuotaSettings::default());
    let account = AccountId(1);
    assert_eq!(
        allocator.lease(Time::ZERO, account, 1, (0, 90), 100).amount,
        90
    );
    assert_eq!(
        allocator.lease(Time::ZERO, account, 2, (0, 50), 100).amount,
        10
    );
    let later = Time::ZERO + Duration::from_secs(1);
    assert_eq!(allocator.lease(later, account, 1, (0, 90), 100).amount, 50);
    assert_eq!(allocator.lease(later, account, 2, (0, 50), 100).amount, 50);
    let end = later + Duration::from_secs(5);
    allocator.remove_expired(end);
    assert_eq!(allocator.lease(end, account, 3, (0, 100), 100).amount, 100);
}

#[test]
fn kv_of_a_paused_program_is_exported_imported_and_released() {
    let mut retention = Retention::new(RetentionSettings::default());
    let program = ProgramId::root(1);
    assert_eq!(retention.call_started(Time::ZERO, program), []);
    let paused = retention.call_ended(Time::from_millis(100), program);
    assert_eq!(paused, Some(RetentionAction::Export(program)));
    let again = retention.call_started(Time::from_millis(2_000), program);
    assert_eq!(again, [RetentionAction::Import(program)]);
    let paused = retention.call_ended(Time::from_millis(2_100), program);
    assert_eq!(paused, Some(RetentionAction::Export(program)));
    assert_eq!(
        retention.program_ended(program),
        Some(RetentionAction::Release(program))
    );
    assert_eq!(retention.program_ended(program), None);
}

#[test]
fn kv_of_a_program_that_ends_while_a_call_runs_is_released_after_the_call() {
    let mut retention = Retention::new(RetentionSettings::default());
    let program = ProgramId::root(1);
    retention.call_started(Time::ZERO, program);
    retention.call_started(Time::ZERO, program);
    assert_eq!(
        retention.program_ended(program),
        None,
        "the release waits for running calls"
    );
    assert_eq!(retention.call_ended(Time::from_millis(100), program), None);
    assert_eq!(
        retention.call_ended(Time::from_millis(200), program),
        Some(RetentionAction::Release(program))
    );
    assert!(retention.is_empty());
}

#[test]
fn a_sweep_releases_programs_whose_end_was_not_reported() {
    let mut retention = Retention::new(RetentionSettings::default());
    let program = ProgramId::root(1);
    retention.call_started(Time::ZERO, program);
    retention.call_ended(Time::from_millis(100), program);
    assert_eq!(retention.tick(Time::from_millis(5_000)), []);
    let asked = retention.tick(Time::from_millis(20_000));
    assert_eq!(asked, [RetentionAction::QueryEnded([program].into())]);
    let dropped = retention.tick(Time::from_millis(1_000_000));
    assert_eq!(
        dropped,
        [RetentionAction::Release(program)],
        "released although the ledger did not answer"
    );
    assert!(retention.is_empty());
}

/// Upstreams `0..count`, all serving model 1.
fn views(count: u64) -> Vec<PlacementView> {
    let view = |number| PlacementView {
        upstream: UpstreamId(number),
        model: ModelId(1),
        calls: 0,
    };
    (0..count).map(view).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Unexpired leases never add up to more than the limit.
    #[test]
    fn leases_stay_within_the_limit(
        asks in prop::collection::vec((0_u64..6, 0_u32..80, 0_u64..1_500), 1..80),
    ) {
        let mut allocator = QuotaAllocator::new(QuotaSettings::default());
        let mut held = indexmap::IndexMap::new();
        let mut now = Time::ZERO;
        for (holder, wanted, pause) in asks {
            now = now + Duration::from_millis(pause);
            held.retain(|_, lease: &mut QuotaLease| lease.expires_at > now);
            // A holder may have more calls in progress than its lease allows,
            // because calls that continue a program are always allowed.
            let leased = held.get(&holder).map_or(0, |lease| lease.amount);
            let open = wanted / 2;
            let lease = allocator.lease(now, AccountId(1), holder, (open, wanted), 100);
            prop_assert!(lease.amount >= open.min(leased));
            held.insert(holder, lease);
            let sum: u32 = held.values().map(|lease| lease.amount).sum();
            prop_assert!(sum <= 100);
        }
    }

    /// Moves respect the limit of concurrent moves and the throughput of the
    /// weight store, carry increasing fence numbers, and lead to a placement in
    /// which every model with calls has an upstream.
    #[test]
    fn placement_moves_a_few_at_a_time(
        calls in prop::collection::vec(0_u64..100, 1..6),
        moving_permille in 0_u32..400,
    ) {
        let mut views = views(20);
        let demand: indexmap::IndexMap<_, _> =
            calls.iter().zip(1..).map(|(calls, model)| (ModelId(model), *calls)).collect();
        let max_moving = (20 * moving_permille as usize / 1_000).max(1);
        let cfg = PlacementSettings { moving_permille, ..PlacementSettings::default() };
        let mut placement = Placement::new(cfg, FenceNumber(5));
        let (mut now, mut fence, mut in_flight) = (Time::ZERO, FenceNumber(5), Vec::new());
        for _ in 0..100 {
            let moves = placement.plan(now, &views, &demand);
            prop_assert!(moves.len() <= 1, "loading one model takes the weight store 16 s");
            for order in moves {
                prop_assert!(order.fence > fence);
                fence = order.fence;
                in_flight.push(order);
            }
            prop_assert!(in_flight.len() <= max_moving);
            now = now + Duration::from_secs(16);
            if in_flight.len() == max_moving {
                let order = in_flight.remove(0);
                let at = usize::try_from(order.upstream.0).expect("number in range");
                views[at].model = order.load;
                placement.move_finished(order.upstream);
            }
        }
        for order in in_flight {
            views[usize::try_from(order.upstream.0).expect("number in range")].model = order.load;
        }
        for (model, calls) in demand {
            let serving = views.iter().filter(|view| view.model == model).count();
            prop_assert!(calls == 0 || serving > 0, "{} has no upstream", model);
        }
    }
}

#[test]
fn an_account_without_quota_starts_no_new_programs() {
    let mut allocator = QuotaAllocator::new(QuotaSettings::default());
    let mut holders = [QuotaHolder::default(), QuotaHolder::default()];
    let account = AccountId(1);
    let begin_call = |holders: &mut [QuotaHolder; 2], allocator: &mut QuotaAllocator, at: usize| {
        let holder = &mut holders[at];
        if holder.needs_lease(Time::ZERO, account) {
            let wanted = holder.demand(account);
            let lease = allocator.lease(Time::ZERO, account, at as u64, wanted, 10);
            holder.set_lease(account, lease);
        }
        holder.begin_call(Time::ZERO, account, false)
    };
    let started = (0..50).filter(|call| begin_call(&mut holders, &mut allocator, call % 2));
    assert_eq!(started.count(), 10);
    assert!(
        holders[0].begin_call(Time::ZERO, account, true),
        "a call that continues a program is always allowed"
    );
    let late = Time::ZERO + Duration::from_hours(1);
    assert!(
        !holders[1].begin_call(late, account, false),
        "an expired lease allows no new programs"
    );
}

#[test]
fn removing_a_program_returns_only_unshared_blocks() {
    let mut tracked = ProgramBlocks::default();
    let (one, two) = (ProgramId::root(1), ProgramId::root(2));
    tracked.record(one, &[1, 2, 3]);
    tracked.record(one, &[1, 2, 3, 4]);
    tracked.record(two, &[1, 2, 9]);
    assert_eq!(*tracked.remove(one), [3, 4]);
    assert_eq!(*tracked.remove(one), []);
    assert_eq!(*tracked.remove(two), [9], "blocks 1 and 2 were shared");
    assert!(tracked.is_empty());
}
