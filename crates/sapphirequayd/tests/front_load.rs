//! Loads of agent programs, played through the decisions of several fronts.

#[path = "common/agent_load.rs"]
mod agent_load;

use {
    agent_load::{AgentLoad, percent_in_time},
    std::time::Duration,
};

/// 24 engines of 8 slots, with two thirds of their capacity in use outside the
/// burst; a front sends less than one turn a second to each.
const BURST: AgentLoad = AgentLoad {
    fronts: 25,
    upstreams: 24,
    programs_per_second: 90,
    seconds: 20,
    burst: (3, 9),
    burst_percent: 200,
    ..AgentLoad::PLAIN
};

#[test]
fn turns_do_not_wait_at_busy_upstreams_after_a_burst_while_others_are_free() {
    let results = BURST.play();
    let before = percent_in_time(&results, 1..2);
    let after = percent_in_time(&results, 15..20);
    assert!(after >= 95, "{before} % in time before, {after} % after");
}

#[test]
fn programs_beyond_the_capacity_are_refused_instead_of_making_all_late() {
    let results = BURST.play();
    let in_time = percent_in_time(&results, 0..BURST.seconds);
    assert!(in_time >= 79, "{in_time} % in time");
}

/// 55 engines of 12 slots, with two thirds of their capacity in use outside the burst;
/// callers repeat a refused request twice.
const LARGE: AgentLoad = AgentLoad {
    fronts: 26,
    upstreams: 55,
    slots: 12,
    programs_per_second: 150,
    seconds: 8,
    burst: (2, 5),
    burst_percent: 260,
    repeats: 2,
    ..AgentLoad::PLAIN
};

/// Guards against programs that are begun while the queues grow, before their waits are
/// over: 48 % are in time if only the waits count.
#[test]
fn new_programs_are_refused_as_soon_as_upstreams_report_queues() {
    let results = LARGE.play();
    let in_time = percent_in_time(&results, 0..LARGE.seconds);
    assert!(in_time >= 58, "{in_time} % in time");
}

/// Guards against fronts that begin programs although they read requests too late: 63 %
/// are in time, and none is refused, if only the waits at upstreams count.
#[test]
fn fronts_that_read_requests_late_refuse_new_programs() {
    let load = AgentLoad {
        fronts: 18,
        programs_per_second: 140,
        burst_percent: 150,
        front_time: Duration::from_millis(20),
        ..LARGE
    };
    let results = load.play();
    let in_time = percent_in_time(&results, 0..load.seconds);
    assert!(in_time >= 70, "{in_time} % in time");
}

/// Engines at 0.55 to 1.2 times the usual speed.
const UNEVEN: AgentLoad = AgentLoad {
    programs_per_second: 80,
    burst_percent: 100,
    paces: &[181, 160, 138, 125, 112, 100, 91, 83],
    ..BURST
};

/// Guards against fronts that do not learn the speeds of their upstreams.
#[test]
fn programs_are_in_time_on_engines_of_uneven_speed() {
    let results = UNEVEN.play();
    let in_time = percent_in_time(&results, 5..UNEVEN.seconds);
    assert!(in_time >= 98, "{in_time} % in time");
}
