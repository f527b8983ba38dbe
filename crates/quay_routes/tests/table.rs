//! Route selection, table validation, deadlines and prompt hashes.

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

/// Guards against a stream that is taken for one of the service to which its route has moved.
#[test]
fn routes_with_other_services_than_before_are_known() {
    let to = |name, prefix, services: &[(&str, u32)]| Route {
        targets: services
            .iter()
            .map(|(service, weight)| Target::new(*service, *weight))
            .collect(),
        ..route(name, "a", prefix)
    };
    let before = table(vec![
        to("all", "/", &[("s", 1)]),
        to("split", "/split/", &[("s", 1), ("t", 1)]),
        to("gone", "/all/gone/", &[("t", 1)]),
    ]);
    let moved = |routes| {
        let moved = table(routes).moved_routes(&before);
        let prefixes = moved.into_iter().map(|(_, prefix)| prefix);
        prefixes.collect::<Vec<_>>()
    };
    let all = to("all", "/", &[("s", 1)]);
    let gone = to("gone", "/all/gone/", &[("t", 1)]);
    let weights = to("split", "/split/", &[("t", 9), ("s", 1), ("u", 0)]);
    let none: Vec<Box<str>> = Vec::new();
    assert_eq!(
        moved(vec![all.clone(), gone.clone(), weights.clone()]),
        none
    );
    assert_eq!(moved(vec![all.clone(), weights.clone()]), ["/".into()]);
    let single = to("split", "/split/", &[("s", 1)]);
    assert_eq!(
        moved(vec![all.clone(), gone.clone(), single]),
        ["/split/".into()]
    );
    let new = to("new", "/new/", &[("t", 1)]);
    assert_eq!(moved(vec![all, gone, weights, new]), ["/new/".into()]);
}

#[test]
fn every_kind_of_invalid_table_is_refused() {
    let valid = table(vec![route("r", "a", "/")]);
    assert_eq!(valid.check(), Ok(()));
    let mut invalid = valid.clone();
    invalid.services.clear();
    assert!(matches!(
        invalid.check(),
        Err(TableError::UnknownService { .. })
    ));
    let mut invalid = valid.clone();
    invalid.routes.push(route("q", "a", "/"));
    assert!(matches!(
        invalid.check(),
        Err(TableError::DuplicateRoute { .. })
    ));
    let mut invalid = valid.clone();
    invalid.routes[0].targets[0].weight = 0;
    assert_eq!(invalid.check(), Err(TableError::ZeroWeight("r".into())));
    let mut invalid = valid;
    invalid.routes[0].timeout = Duration::ZERO;
    assert_eq!(invalid.check(), Err(TableError::ZeroTimeout("r".into())));
}

#[test]
fn a_request_ends_at_the_earlier_of_its_deadlines() {
    let arrived = Time::from_millis(1_000);
    let deadline = RequestDeadline::new(
        arrived,
        Some(Duration::from_millis(300)),
        Duration::from_secs(1),
    );
    assert_eq!(deadline.at(), Time::from_millis(1_300));
    assert_eq!(deadline.remaining(Time::from_millis(1_400)), Duration::ZERO);
}

#[test]
fn prompts_with_equal_first_parts_share_block_hashes() {
    let part = |id, tokens| PromptPart { id, tokens };
    let a = block_hashes(&[part(1, 130), part(2, 64)]);
    let b = block_hashes(&[part(1, 130), part(3, 64)]);
    assert_eq!(a[..3], b[..3]);
    assert_ne!(a[3], b[3]);
    assert_ne!(block_hashes(&[part(2, 64)])[0], a[3]);
}

proptest! {
    /// Targets are selected in proportion to their weights.
    #[test]
    fn targets_are_selected_in_proportion_to_their_weights(a in 0..50u32, b in 1..50u32) {
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
fn a_prompt_identifies_its_branch_and_the_parent_branch() {
    use quay_routes::{PromptPart, branch_ids};
    let part = |id, tokens| PromptPart { id, tokens };
    let first = branch_ids(&[part(1, 900), part(2, 30)]);
    let next = branch_ids(&[part(1, 900), part(2, 80)]);
    let branch = branch_ids(&[part(1, 900), part(2, 30), part(3, 10)]);
    let other = branch_ids(&[part(1, 900), part(4, 30)]);
    assert_eq!(first.len(), 1);
    assert_eq!(first, next, "a longer last part belongs to the same branch");
    assert_eq!(branch[1..], first[..]);
    assert_ne!(branch[0], first[0]);
    assert_ne!(other, first);
    // A part that is shared by many prompts does not identify a branch.
    assert!(branch_ids(&[part(1, 900)]).is_empty() && branch_ids(&[]).is_empty());
}
