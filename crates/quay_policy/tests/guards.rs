//! Tests of retry budgets, account slices, retention and placement.

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
fn an_outage_is_not_multiplied() {
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
        "the group's budget is used up"
    );
    assert!(budgets.try_retry(AccountId(2), 2));
}

#[test]
fn slices_move_to_where_the_calls_are() {
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
fn kv_of_a_paused_program_is_exported_put_back_and_released() {
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
        "calls still fill its memory"
    );
    assert_eq!(retention.call_ended(Time::from_millis(100), program), None);
    assert_eq!(
        retention.call_ended(Time::from_millis(200), program),
        Some(RetentionAction::Release(program))
    );
    assert!(retention.is_empty());
}

#[test]
fn an_end_that_was_never_heard_is_found_by_the_sweep() {
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
        "even with no answer"
    );
    assert!(retention.is_empty());
}

/// Upstreams 0..count, all with model 1.
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

    /// Slices that have not ended never add up to more than the limit.
    #[test]
    fn slices_stay_within_the_limit(
        asks in prop::collection::vec((0_u64..6, 0_u32..80, 0_u64..1_500), 1..80),
    ) {
        let mut allocator = QuotaAllocator::new(QuotaSettings::default());
        let mut held = indexmap::IndexMap::new();
        let mut now = Time::ZERO;
        for (holder, wanted, pause) in asks {
            now = now + Duration::from_millis(pause);
            held.retain(|_, lease: &mut QuotaLease| lease.expires_at > now);
            // Calls of programs under way may go beyond the slice.
            let covered = held.get(&holder).map_or(0, |lease| lease.amount);
            let open = wanted / 2;
            let lease = allocator.lease(now, AccountId(1), holder, (open, wanted), 100);
            prop_assert!(lease.amount >= open.min(covered));
            held.insert(holder, lease);
            let sum: u32 = held.values().map(|lease| lease.amount).sum();
            prop_assert!(sum <= 100);
        }
    }

    /// Moves keep their share, the store's rate and rising fences, and end in a
    /// placement that keeps every model with calls warm.
    #[test]
    fn placement_moves_a_few_at_a_time(
        calls in prop::collection::vec(0_u64..100, 1..6),
        moving_permille in 0_u32..400,
    ) {
        let mut views = views(20);
        let demand: indexmap::IndexMap<_, _> =
            calls.iter().zip(1..).map(|(calls, model)| (ModelId(model), *calls)).collect();
        let most = (20 * moving_permille as usize / 1_000).max(1);
        let cfg = PlacementSettings { moving_permille, ..PlacementSettings::default() };
        let mut placement = Placement::new(cfg, FenceNumber(5));
        let (mut now, mut fence, mut under_way) = (Time::ZERO, FenceNumber(5), Vec::new());
        for _ in 0..100 {
            let moves = placement.plan(now, &views, &demand);
            prop_assert!(moves.len() <= 1, "the store sends one model in 16 s");
            for order in moves {
                prop_assert!(order.fence > fence);
                fence = order.fence;
                under_way.push(order);
            }
            prop_assert!(under_way.len() <= most);
            now = now + Duration::from_secs(16);
            if under_way.len() == most {
                let order = under_way.remove(0);
                let at = usize::try_from(order.upstream.0).expect("small");
                views[at].model = order.load;
                placement.move_finished(order.upstream);
            }
        }
        for order in under_way {
            views[usize::try_from(order.upstream.0).expect("small")].model = order.load;
        }
        for (model, calls) in demand {
            let serving = views.iter().filter(|view| view.model == model).count();
            prop_assert!(calls == 0 || serving > 0, "{} has no upstream", model);
        }
    }
}

#[test]
fn an_account_over_its_slices_begins_nothing_new() {
    let mut allocator = QuotaAllocator::new(QuotaSettings::default());
    let mut holders = [QuotaHolder::default(), QuotaHolder::default()];
    let account = AccountId(1);
    let enter = |holders: &mut [QuotaHolder; 2], allocator: &mut QuotaAllocator, at: usize| {
        let holder = &mut holders[at];
        if holder.needs_lease(Time::ZERO, account) {
            let wanted = holder.demand(account);
            let lease = allocator.lease(Time::ZERO, account, at as u64, wanted, 10);
            holder.set_lease(account, lease);
        }
        holder.begin_call(Time::ZERO, account, false)
    };
    let started = (0..50).filter(|call| enter(&mut holders, &mut allocator, call % 2));
    assert_eq!(started.count(), 10);
    assert!(
        holders[0].begin_call(Time::ZERO, account, true),
        "a program under way goes on"
    );
    let late = Time::ZERO + Duration::from_hours(1);
    assert!(
        !holders[1].begin_call(late, account, false),
        "a slice that has ended allows nothing"
    );
}

#[test]
fn a_program_gives_up_its_own_blocks_and_no_shared_ones() {
    let mut held = ProgramBlocks::default();
    let (one, two) = (ProgramId::root(1), ProgramId::root(2));
    held.record(one, &[1, 2, 3]);
    held.record(one, &[1, 2, 3, 4]);
    held.record(two, &[1, 2, 9]);
    assert_eq!(*held.remove(one), [3, 4]);
    assert_eq!(*held.remove(one), []);
    assert_eq!(*held.remove(two), [9], "a common prompt is nobody's own");
    assert!(held.is_empty());
}
