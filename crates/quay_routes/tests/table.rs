//! Which route a request takes, and which tables are refused.

use {
    proptest::prelude::*,
    quay_routes::{
        PromptPart, RequestDeadline, Route, RoutingTable, Service, TableError, Target, block_hashes,
    },
    quay_types::Time,
    std::time::Duration,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        timeout: Duration::from_secs(1),
        targets: [Target::new("s", 1)].into(),
        ..Route::default()
    }
}

fn table(routes: Vec<Route>) -> RoutingTable {
    RoutingTable {
        routes,
        services: vec![Service {
            name: "s".into(),
            ..Service::default()
        }],
        ..RoutingTable::default()
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("all", "a", "/"),
        route("deep", "a", "/x/y/"),
        route("other", "b", "/x/y/z/"),
    ]);
    let name = |host, path| table.find(host, path).map(|route| &*route.name);
    assert_eq!(name("a", "/x/y/1"), Some("deep"));
    assert_eq!(name("a", "/x/yy/1"), Some("all"));
    assert_eq!(name("A", "/q"), Some("all"));
    assert_eq!(name("c", "/x/"), None);
}

#[test]
fn every_fault_of_a_table_is_refused() {
    let sound = table(vec![route("r", "a", "/")]);
    assert_eq!(sound.check(), Ok(()));
    let mut faulty = sound.clone();
    faulty.services.clear();
    assert!(matches!(
        faulty.check(),
        Err(TableError::UnknownService { .. })
    ));
    let mut faulty = sound.clone();
    faulty.routes.push(route("q", "a", "/"));
    assert!(matches!(
        faulty.check(),
        Err(TableError::DuplicateRoute { .. })
    ));
    let mut faulty = sound.clone();
    faulty.routes[0].targets[0].weight = 0;
    assert_eq!(faulty.check(), Err(TableError::ZeroWeight("r".into())));
    let mut faulty = sound;
    faulty.routes[0].timeout = Duration::ZERO;
    assert_eq!(faulty.check(), Err(TableError::ZeroTimeout("r".into())));
}

#[test]
fn the_earlier_of_patience_and_timeout_ends_a_request() {
    let arrived = Time::from_millis(1_000);
    let allowance = RequestDeadline::new(
        arrived,
        Some(Duration::from_millis(300)),
        Duration::from_secs(1),
    );
    assert_eq!(allowance.at(), Time::from_millis(1_300));
    assert_eq!(
        allowance.remaining(Time::from_millis(1_400)),
        Duration::ZERO
    );
}

#[test]
fn prompts_share_the_blocks_of_equal_first_parts() {
    let part = |id, tokens| PromptPart { id, tokens };
    let a = block_hashes(&[part(1, 130), part(2, 64)]);
    let b = block_hashes(&[part(1, 130), part(3, 64)]);
    assert_eq!(a[..3], b[..3]);
    assert_ne!(a[3], b[3]);
    assert_ne!(block_hashes(&[part(2, 64)])[0], a[3]);
}

proptest! {
    /// Draws are shared out by weight.
    #[test]
    fn weights_share_out_all_draws(a in 0..50u32, b in 1..50u32) {
        let route = Route {
            targets: [Target::new("a", a), Target::new("b", b)].into(),
            ..Route::default()
        };
        let total = u64::from(a + b);
        let of_a = (0..total).filter(|draw| route.target(*draw) == Some("a")).count();
        prop_assert_eq!(of_a, a as usize);
    }
}

#[test]
fn a_prompt_names_its_line_and_the_one_that_it_branched_off_from() {
    use quay_routes::{PromptPart, branch_ids};
    let part = |id, tokens| PromptPart { id, tokens };
    let first = branch_ids(&[part(1, 900), part(2, 30)]);
    let next = branch_ids(&[part(1, 900), part(2, 80)]);
    let branch = branch_ids(&[part(1, 900), part(2, 30), part(3, 10)]);
    let other = branch_ids(&[part(1, 900), part(4, 30)]);
    assert_eq!(first.len(), 1);
    assert_eq!(first, next, "a line grows");
    assert_eq!(branch[1..], first[..]);
    assert_ne!(branch[0], first[0]);
    assert_ne!(other, first);
    // A part that many share is no line.
    assert!(branch_ids(&[part(1, 900)]).is_empty() && branch_ids(&[]).is_empty());
}
