//! Upstreams of different and changing speeds, with learned and known speeds.

#[path = "common/fleet.rs"]
mod fleet;

use {
    fleet::{EngineTimes, Figures, Fleet, Knowledge, Outcome, SERVICE},
    quay_policy::RouteSettings,
    quay_types::{ServiceId, Time},
    std::time::Duration,
};

/// 368 prompt tokens/ms, a step of 0.76 ms plus 0.03 ms per running request, 41
/// tokens an event.
const FAST: EngineTimes = EngineTimes {
    prefill_ns: 2_717,
    event_us: 31_160,
    per_running_us: 1_230,
};

/// 163 prompt tokens/ms, a step of 1.26 ms plus 0.03 ms per running request, 27
/// tokens an event.
const SLOW: EngineTimes = EngineTimes {
    prefill_ns: 6_135,
    event_us: 34_020,
    per_running_us: 810,
};

/// Mean number of events of a response of [`Fleet`].
const EVENTS: u64 = 8;

/// Settings of a gateway's front.
fn settings() -> RouteSettings {
    RouteSettings {
        prefix_per_running: 1_000,
        spread: Duration::ZERO,
        spread_permille: 50,
        silent_after: Duration::from_hours(1),
        stale_after: Duration::from_hours(1),
        stale_cost: Duration::ZERO,
        ..RouteSettings::default()
    }
}

/// 20 engines at 0.55 to 1.2 times the usual speed before 8 fronts; they carry
/// about 570 requests per second.
fn fleet() -> Fleet {
    Fleet {
        cfg: settings(),
        times: FAST,
        paces: (0..20).map(|at| 10_000 / (55 + at * 65 / 19)).collect(),
        slow_phases: 0,
        remote: 0,
        fronts: 8,
        per_second: 500,
        seconds: 20,
        knowledge: Knowledge::Learned,
        figures: Figures::Absent,
        lost: 0,
    }
}

fn run(name: &str, fleet: &Fleet) -> Outcome {
    let outcome = fleet.run();
    println!(
        "| {name} | {} | {} | {} |",
        outcome.mean_ms(),
        outcome.slowest_ms(),
        outcome.remote_percent
    );
    outcome
}

/// Guards against speeds that depend on the settings, or that a busy fleet
/// distorts.
#[test]
fn speeds_of_different_engines_are_learned() {
    for times in [FAST, SLOW] {
        let fleet = Fleet {
            times,
            per_second: 400,
            ..fleet()
        };
        let outcome = fleet.run();
        let front = &outcome.fronts[0];
        let speed = front.service_speed(ServiceId::of(SERVICE));
        let speed = speed.expect("a measured service");
        let now = Time::from_millis(20_000);
        let pace = |at| front.pace(now, Fleet::id(at)).expect("a known engine");
        // All times scale with the mean pace, which depends on the traffic.
        let scale = |learned: u64, known: u64| learned * 1_000 / known;
        let event = scale(speed.answer_ns / 1_000, times.event_us * EVENTS);
        let prefill = scale(speed.prefill_ns, times.prefill_ns);
        let per_running = scale(speed.per_running_ns / 1_000, times.per_running_us * EVENTS);
        let paces = pace(0) * 1_000 / pace(19);
        println!(
            "event {event}, prefill {prefill}, per running {per_running}, slowest to fastest {paces}"
        );
        assert!((950..1_400).contains(&event), "{event}");
        assert!((800..1_400).contains(&prefill), "{prefill}");
        assert!((500..1_800).contains(&per_running), "{per_running}");
        // 1,182 by 550.
        assert!((1_500..2_700).contains(&paces), "{paces}");
    }
}

/// Guards against placement that ignores speeds, and against fast upstreams
/// that all fronts fill at once.
#[test]
fn learned_speeds_place_as_well_as_known_ones_and_better_than_none() {
    for per_second in [200, 300, 400, 500] {
        let fleet = Fleet {
            per_second,
            ..fleet()
        };
        let of = |name: &str, knowledge| {
            let name = format!("{per_second}/s, {name}");
            let outcome = run(
                &name,
                &Fleet {
                    knowledge,
                    ..fleet.clone()
                },
            );
            (outcome.mean_ms(), outcome.slowest_ms())
        };
        let nothing = of("no speeds", Knowledge::Nothing);
        let learned = of("learned", Knowledge::Learned);
        let known = of("known", Knowledge::Known);
        assert!(learned.0 * 100 <= known.0 * 103, "{learned:?} {known:?}");
        assert!(learned.0 <= nothing.0, "{learned:?} {nothing:?}");
        assert!(learned.1 * 100 <= nothing.1 * 95, "{learned:?} {nothing:?}");
    }
}

/// Guards against figures that are trusted after they have changed, or not
/// used while they are true.
#[test]
fn a_slowdown_counts_until_it_is_600_ms_old() {
    let of = |name: &str, age, slowdown_weight, slowdown_fade| {
        let fleet = Fleet {
            cfg: RouteSettings {
                slowdown_weight,
                slowdown_fade,
                ..settings()
            },
            paces: vec![100; 20],
            slow_phases: 15,
            per_second: 250,
            seconds: 40,
            figures: Figures::Aged(age),
            ..fleet()
        };
        run(&format!("{age} ms old, {name}"), &fleet).slowest_ms()
    };
    let cfg = settings();
    let unused = of("unused", 0, 0, cfg.slowdown_fade);
    for age in [0, 50, 200, 600, 1_000] {
        let trusted = of("trusted", age, 1_000, Duration::from_hours(1));
        let faded = of("faded", age, cfg.slowdown_weight, cfg.slowdown_fade);
        let most = match age {
            0 | 50 => 94,
            200 => 98,
            _ => {
                assert!(trusted > unused, "{trusted} {unused}");
                103
            }
        };
        assert!(faded * 100 <= unused * most, "{faded} {unused}");
    }
}

/// Guards against figures in responses that make placement worse because a
/// front has them seldom, and against a dependence on reports that get lost.
#[test]
fn figures_in_responses_do_no_harm_and_lost_reports_cost_little() {
    for lost in [0, 50, 100] {
        let fleet = Fleet {
            slow_phases: 15,
            per_second: 300,
            seconds: 40,
            lost,
            ..fleet()
        };
        let of = |name: &str, knowledge, figures| {
            let fleet = Fleet {
                knowledge,
                figures,
                ..fleet.clone()
            };
            run(&format!("{lost} % lost, {name}"), &fleet).slowest_ms()
        };
        let nothing = of("no speeds", Knowledge::Nothing, Figures::Absent);
        let learned = of("learned", Knowledge::Learned, Figures::Absent);
        let reported = of("learned, figures", Knowledge::Learned, Figures::InResponses);
        let most = if lost == 0 { 97 } else { 100 };
        assert!(learned * 100 <= nothing * most, "{learned} {nothing}");
        assert!(reported * 100 <= learned * 103, "{reported} {learned}");
    }
}

/// Guards against a data centre whose upstreams are slow keeping all of its
/// callers' requests.
#[test]
fn a_data_centre_of_slow_upstreams_borrows_from_another() {
    let of = |name: &str, knowledge, paces: Vec<u64>| {
        let fleet = Fleet {
            paces,
            // The engines of the callers' own data centre are the last ones.
            remote: 10,
            per_second: 300,
            knowledge,
            ..fleet()
        };
        run(name, &fleet)
    };
    let usual = vec![100; 20];
    let slow = [vec![100; 10], vec![180; 8], vec![100; 2]].concat();
    let nothing = of("slow, no speeds", Knowledge::Nothing, slow.clone());
    let learned = of("slow, learned", Knowledge::Learned, slow);
    let even = of("even, learned", Knowledge::Learned, usual);
    assert!(learned.slowest_ms() * 100 <= nothing.slowest_ms() * 95);
    assert!(learned.remote_percent > nothing.remote_percent);
    assert!(even.remote_percent < learned.remote_percent);
}
