//! Tests of the control group as separate processes whose settings name control hosts
//! outside the group.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Role, send},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const TABLE: &str = r#"{"Version":7,"Routes":[
{"Name":"read","Host":"a.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":8000,"SloMs":60,"Priority":1,"Service":"app","MaxAttempts":2}],
"Services":[{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

fn wait_for(what: &str, mut poll: impl FnMut() -> bool) {
    let began = Instant::now();
    while !poll() {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(100));
    }
}

/// Starts a gateway with a routing table and three more control hosts, which no group
/// needs, and names these as the seeds.
fn start_with_outside_seeds() -> Gateway {
    let mut gateway = Gateway::start(3);
    wait_for("the table is accepted", || {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
    });
    let added: Vec<usize> = (0..3).map(|_| gateway.add_control()).collect();
    for slot in &added {
        wait_for("an added host knows the group", || {
            has_table(&gateway, *slot)
        });
    }
    gateway.set_seeds(&added);
    gateway
}

/// Whether a control host answers a read of the routing table with the table.
fn has_table(gateway: &Gateway, slot: usize) -> bool {
    let head = "GET /sapphirequay/config/get HTTP/1.1\nHost: c";
    let got = send(gateway.controls[slot], head, "");
    got.is_some_and(|got| got.status == 200 && got.body == TABLE)
}

/// Whether a front has the routing table: it knows that no other route exists.
fn front_knows_routes(gateway: &Gateway, front: usize) -> bool {
    let head = "GET /other HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: r\nX-Sapphirequay-Deadline-Ms: 2000";
    send(gateway.fronts[front], head, "").is_some_and(|got| got.status == 404)
}

fn kill_all(gateway: &mut Gateway) -> Vec<Role> {
    let roles = gateway.running();
    for role in &roles {
        gateway.kill(*role);
    }
    roles
}

/// Whether it is committed that a control host votes under its present identity. A host
/// that is about to, or that could not, has only the event `members_change`.
fn is_voter(gateway: &Gateway, slot: usize) -> bool {
    let Some(node) = gateway.control_identity(slot) else {
        return false;
    };
    let logs = gateway.logs();
    let committed = logs.split("event=members_committed ").skip(1);
    let voters = committed.filter_map(|line| line.split_once("voters=")?.1.split(' ').next());
    voters
        .flat_map(|it| it.split(','))
        .any(|voter| voter == node)
}

/// Guards against processes that find no control group after a restart of all, since the
/// seeds of their settings are not members of it (review, case 2).
#[test]
fn seeds_outside_the_group_lead_to_it_after_all_processes_were_killed() {
    let mut gateway = start_with_outside_seeds();
    for role in kill_all(&mut gateway) {
        gateway.run(role, false);
    }
    for front in 0..2 {
        wait_for("a front serves", || front_knows_routes(&gateway, front));
    }
    for slot in 0..6 {
        wait_for("a control host answers", || has_table(&gateway, slot));
    }
}

/// The same with seeds that lost their disks: the members tell them where the group is.
#[test]
fn seeds_outside_the_group_that_lost_their_disks_are_told_of_it() {
    let mut gateway = start_with_outside_seeds();
    let roles = kill_all(&mut gateway);
    for slot in 3..6 {
        gateway.wipe_control(slot);
    }
    for role in roles {
        gateway.run(role, false);
    }
    for front in 0..2 {
        wait_for("a front serves", || front_knows_routes(&gateway, front));
    }
}

/// The same with members whose settings name themselves, so that they don't introduce
/// themselves to the other hosts' seeds: those remember the group.
#[test]
fn seeds_outside_the_group_remember_it_over_a_restart() {
    let mut gateway = start_with_outside_seeds();
    wait_for("the added hosts have saved the members", || {
        gateway.logs().matches("event=control_hosts_saved").count() >= 6
    });
    let roles = kill_all(&mut gateway);
    gateway.name_seeds_of_later_starts(&[0, 1, 2]);
    for slot in 0..3 {
        gateway.run(Role::Control(slot), false);
    }
    let others = |role: &Role| !matches!(role, Role::Control(0..3));
    gateway.name_seeds_of_later_starts(&[3, 4, 5]);
    for role in roles.into_iter().filter(others) {
        gateway.run(role, false);
    }
    for front in 0..2 {
        wait_for("a front serves", || front_knows_routes(&gateway, front));
    }
}

/// Guards against control hosts that lost their disks and can't rejoin, since the seeds
/// of their settings are not members of the group (review, case 5).
#[test]
fn hosts_that_lost_their_disks_rejoin_through_seeds_outside_the_group() {
    let mut gateway = start_with_outside_seeds();
    for slot in 0..3 {
        let lost = gateway.control_identity(slot);
        gateway.kill(Role::Control(slot));
        gateway.wipe_control(slot);
        gateway.run(Role::Control(slot), false);
        wait_for("the host is a member again", || {
            gateway.control_identity(slot) != lost
                && is_voter(&gateway, slot)
                && has_table(&gateway, slot)
        });
    }
    for slot in 0..6 {
        wait_for("a control host answers", || has_table(&gateway, slot));
    }
}

/// A member that was replaced while it stood still isn't told so. As the only seed it
/// still leads to the group.
#[test]
fn a_member_that_was_replaced_leads_to_the_group() {
    let mut gateway = Gateway::start(3);
    wait_for("the table is accepted", || {
        let head = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        send(gateway.controls[0], head, TABLE).is_some_and(|got| got.status == 200)
    });
    let added = gateway.add_control();
    let follower = (0..3).find(|slot| gateway.leader() != Some(Role::Control(*slot)));
    let follower = follower.expect("a follower");
    gateway.signal(Role::Control(follower), "STOP");
    wait_for("the added host has taken its place", || {
        is_voter(&gateway, added) && has_table(&gateway, added)
    });
    gateway.signal(Role::Control(follower), "CONT");
    gateway.set_seeds(&[follower]);
    wait_for("the replaced host answers", || {
        has_table(&gateway, follower)
    });
    for role in kill_all(&mut gateway) {
        gateway.run(role, false);
    }
    for front in 0..2 {
        wait_for("a front serves", || front_knows_routes(&gateway, front));
    }
}
