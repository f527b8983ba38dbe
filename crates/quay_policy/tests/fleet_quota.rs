//! Limits of accounts over all fronts, in simulated time.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

#[path = "common/quota_site.rs"]
mod quota_site;

use {
    quay_policy::Permission,
    quay_types::RequestRate,
    quota_site::{Site, WINDOW, id, ms},
    std::time::Duration,
};

/// Guards the bound and the requests below the limit while one account becomes hot,
/// and prints what it costs.
#[test]
fn one_account_becomes_hot() {
    for (fronts, accounts, rate, skew) in [
        (26, 85, 15.0, 0.0),
        (26, 85, 15.0, 1.5),
        (330, 85, 200.0, 0.0),
        (330, 3_600, 5.0, 0.0),
    ] {
        let mut site = Site::new(fronts, accounts, rate, false);
        site.skew = skew;
        site.run(ms(3_000));
        site.reset();
        site.set_load(0, site.load[0] * 7.5);
        site.run(ms(3_000));
        site.print("hot");
        site.check();
        let (refused, total) = (site.refused_below(1), site.sum(|it| it.total));
        assert!(refused * 500 <= total, "{refused} of {total}");
    }
}

/// Guards programs that have begun: over the limit they must end rather than share
/// the limit with new ones that then fail. A bucket without classes is the measure.
#[test]
fn begun_programs_end() {
    let ended = [false, true].map(|classes| {
        let mut site = Site::new(26, 12, 15.0, true);
        site.classes = classes;
        site.run(ms(20_000));
        site.set_load(0, site.load[0] * 7.5);
        site.run(ms(10_000));
        site.reset();
        site.run(ms(60_000));
        let hot = &site.counts[0];
        println!(
            "classes {classes}: started {} ended {} sent {}",
            hot.started, hot.ended, hot.total
        );
        site.print("programs");
        site.check();
        hot.ended
    });
    assert!(ended[1] > ended[0] * 2, "{ended:?}");
}

/// Guards the bound when the leader is lost at the moment an account becomes hot, for
/// as long as an election takes and for 10 s.
#[test]
fn leader_is_lost() {
    for (fronts, rate, away) in [(26, 15.0, 1_500), (26, 15.0, 10_000), (330, 50.0, 10_000)] {
        let mut site = Site::new(fronts, 12, rate, false);
        site.run(ms(10_000));
        site.reset();
        site.set_load(0, site.load[0] * 7.5);
        site.leader = None;
        site.run(ms(away));
        site.elect();
        site.run(ms(6_000));
        site.print("leader lost");
        site.check();
        if fronts == 26 {
            let (refused, total) = (site.refused_below(1), site.sum(|it| it.total));
            assert!(refused < total / 2, "{refused} of {total}");
        }
    }
}

/// Guards the bound when fronts are cut off, paused, killed and added, in turn with
/// changes of the leader.
#[test]
fn fronts_are_lost() {
    for fault in ["cut", "paused", "killed", "added"] {
        let mut site = Site::new(26, 12, 15.0, false);
        site.run(ms(10_000));
        site.reset();
        site.set_load(0, site.load[0] * 7.5);
        for at in 0..13 {
            let paused_until = site.now + ms(7_000);
            match fault {
                "cut" => site.fronts[at].cut = true,
                "paused" => site.fronts[at].paused_until = paused_until,
                "killed" => site.fronts[at].killed = true,
                _ => site.add_front(),
            }
        }
        site.run(ms(8_000));
        site.elect();
        site.run(ms(5_000));
        for front in &mut site.fronts {
            front.cut = false;
        }
        site.run(ms(10_000));
        site.print(fault);
        site.check();
        let (refused, total) = (site.refused_below(1), site.sum(|it| it.total));
        assert!(refused < total / 4, "{refused} of {total}");
    }
}

/// Guards a lowered limit that some fronts and the leader learn at different times.
#[test]
fn lowered_limit_arrives_unevenly() {
    let mut site = Site::new(26, 12, 40.0, false);
    site.set_load(0, site.load[0] * 7.5);
    site.run(ms(10_000));
    site.limits[0].rate = RequestRate::from_per_second(5.0).unwrap();
    site.limits[0].burst = 5;
    let limits = site.limits();
    for front in &mut site.fronts[..13] {
        front.holder.set_limits(2, limits.clone());
    }
    site.run(ms(1_000));
    let now = site.now;
    let leader = site.leader.as_mut().unwrap();
    leader.set_limits(now, 2, limits.clone());
    assert_eq!(leader.revision(), 2);
    site.run(ms(1_000));
    for front in &mut site.fronts[13..] {
        front.holder.set_limits(2, limits.clone());
    }
    site.run(WINDOW + ms(500));
    site.reset();
    site.counts[0].sent.clear();
    site.run(ms(10_000));
    site.print("lowered");
    site.check();
}

/// Guards permits: one that is given back is available again, and the leader counts a
/// request once however often it is reported.
#[test]
fn unused_permits_return() {
    let mut site = Site::new(1, 1, 10.0, false);
    site.set_load(0, 0.0);
    site.run(ms(10_000));
    let used = |site: &Site| site.leader.as_ref().unwrap().reports().next().unwrap().used;
    let earlier = used(&site);
    let now = site.now;
    let holder = &mut site.fronts[0].holder;
    holder.begin_wait(id(0), false);
    assert_eq!(holder.permit(now, id(0), false, false), Permission::Wait);
    site.poll(0, ms(0));
    site.run(ms(300));
    let now = site.now;
    let holder = &mut site.fronts[0].holder;
    holder.end_wait(id(0), false);
    let before = holder.views(now).next().unwrap().permits;
    let granted = Permission::Granted { shared: false };
    for _ in 0..100 {
        assert_eq!(holder.permit(now, id(0), false, false), granted);
        holder.spend(id(0), false, false);
        holder.unspend(id(0), false, false);
        holder.give_back(id(0), false);
    }
    assert_eq!(holder.views(now).next().unwrap().permits, before);
    assert_eq!(
        holder.permit(now, id(7), false, false),
        Permission::Unlimited
    );
    site.run(ms(1_000));
    assert_eq!(used(&site), earlier);
}

/// Guards the bound under faults and loads in any order: fronts are cut off, paused,
/// killed and restarted, the leader changes or is away, and accounts change between
/// no load, their usual one and many times that.
#[test]
fn bound_holds_under_random_faults() {
    for seed in 1..=6 {
        let fronts = [3, 26, 60][seed % 3];
        let mut site = Site::new(fronts, 4, 15.0, false);
        for (account, rate) in [(1, 2.0), (2, 60.0), (3, 200.0)] {
            site.limits[account].rate = RequestRate::from_per_second(rate).unwrap();
        }
        site.limits[3].burst = 0;
        site.seed = seed as u64 * 7_919;
        for front in 0..fronts {
            site.restart(front);
        }
        site.elect();
        let usual: Vec<f64> = site
            .limits
            .iter()
            .map(|it| it.rate.0 as f64 / 1_600.0)
            .collect();
        let mut away_until = site.now;
        for _ in 0..20 {
            for (account, usual) in usual.iter().enumerate() {
                if site.draw() < 0.5 {
                    let factor = [0.0, 1.0, 10.0, 30.0][(site.draw() * 4.0) as usize];
                    site.set_load(account, usual * factor);
                }
            }
            for _ in 0..=fronts / 8 {
                // The first front stays, so that requests have somewhere to arrive.
                let front = 1 + (site.draw() * (fronts - 1) as f64) as usize;
                let pause = Duration::from_secs_f64(site.draw() * 8.0);
                match (site.draw() * 5.0) as usize {
                    0 => site.fronts[front].cut = true,
                    1 => site.fronts[front].cut = false,
                    2 => site.fronts[front].paused_until = site.now + pause,
                    3 => site.fronts[front].killed = true,
                    _ => site.restart(front),
                }
            }
            if site.draw() < 0.15 && site.leader.is_some() {
                site.leader = None;
                away_until = site.now + Duration::from_secs_f64(0.5 + site.draw() * 12.0);
            }
            let step = Duration::from_secs_f64(0.2 + site.draw() * 3.0);
            site.run(step);
            if site.leader.is_none() && site.now >= away_until {
                site.elect();
            }
        }
        let used: Vec<_> = (0..4).map(|account| site.bound(account)).collect();
        println!("seed {seed}, {fronts} fronts: {used:?}");
        site.check();
    }
}
