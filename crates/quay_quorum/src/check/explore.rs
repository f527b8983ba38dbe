//! Exploration of every order of events up to a bounded depth.

use {
    crate::{
        Input, Settings,
        check::{
            safety_checker::Violation,
            simulation::{Simulation, SimulationSettings},
        },
    },
    indexmap::IndexSet,
    quay_types::NodeId,
    std::{
        collections::VecDeque,
        hash::{DefaultHasher, Hash as _, Hasher as _},
        time::Duration,
    },
};

/// Results of an exploration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states reached.
    pub states: u64,
    /// Number of events executed.
    pub transitions: u64,
    /// Depth of the last visited state, in events from the start.
    pub depth: u32,
    /// Greatest number of elections on one path.
    pub elections: u64,
    /// Greatest number of committed entries on one path.
    pub commits: u64,
}

/// An event.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The election timeout of a replica expires.
    Timeout(NodeId),
    /// A message arrives, not necessarily the oldest one.
    Deliver(usize),
    /// A message is lost.
    Lose(usize),
    /// A host syncs all queued writes to disk.
    Sync(NodeId),
    /// A process crashes, loses all unsynced writes and restarts.
    Crash(NodeId),
    /// A command is proposed to a leader.
    Propose(NodeId),
}

/// Explores every order of events from a group whose first replica has just
/// won its election, up to `depth` events or until `limit` states are known.
///
/// # Errors
///
/// Returns the first safety violation.
pub fn explore(replica: Settings, depth: u32, limit: usize) -> Result<Exploration, Violation> {
    let start = start(replica)?;
    let mut seen = IndexSet::from([fingerprint(&start)]);
    let mut queue = VecDeque::from([(0, start)]);
    let mut exploration = Exploration::default();
    while let Some((depth_reached, simulation)) = queue.pop_front() {
        exploration.depth = depth_reached;
        exploration.elections = exploration.elections.max(simulation.checker.elections());
        exploration.commits = exploration.commits.max(simulation.checker.commits());
        if depth_reached == depth || seen.len() >= limit {
            continue;
        }
        for event in possible_events(&simulation) {
            let mut simulation = simulation.clone();
            execute(&mut simulation, event)?;
            exploration.transitions += 1;
            if seen.insert(fingerprint(&simulation)) {
                queue.push_back((depth_reached + 1, simulation));
            }
        }
    }
    exploration.states = seen.len() as u64;
    Ok(exploration)
}

/// Creates a group whose first replica has just won its election.
fn start(replica: Settings) -> Result<Simulation, Violation> {
    let cfg = SimulationSettings {
        loss: 0,
        duplicates: 0,
        delay: Duration::ZERO,
        clock_error: 0,
        replica,
        ..SimulationSettings::default()
    };
    let mut simulation = Simulation::new(cfg, 0);
    let nodes = [NodeId(1), NodeId(2), NodeId(3)];
    execute(&mut simulation, Event::Timeout(nodes[0]))?;
    while simulation.leader().is_none() {
        for node in nodes {
            simulation.sync(node, usize::MAX)?;
        }
        if simulation.in_transit.is_empty() {
            break;
        }
        execute(&mut simulation, Event::Deliver(0))?;
    }
    Ok(simulation)
}

/// Returns the events that can happen next.
fn possible_events(simulation: &Simulation) -> Vec<Event> {
    let mut events = Vec::new();
    for (node, host) in &simulation.hosts {
        events.push(Event::Timeout(*node));
        events.push(Event::Crash(*node));
        if host.is_dirty() {
            events.push(Event::Sync(*node));
        }
        if host.replica.as_ref().is_some_and(crate::Replica::is_leader) {
            events.push(Event::Propose(*node));
        }
    }
    for index in 0..simulation.in_transit.len() {
        events.push(Event::Deliver(index));
        events.push(Event::Lose(index));
    }
    events
}

/// Executes an event.
fn execute(simulation: &mut Simulation, event: Event) -> Result<(), Violation> {
    match event {
        Event::Timeout(node) => {
            if let Some(replica) = &simulation.hosts[&node].replica {
                simulation.now = simulation.now.max(replica.deadline());
            }
            simulation.input(node, Input::Tick)
        }
        Event::Deliver(index) => {
            let packet = simulation.in_transit.remove(index);
            simulation.deliver(packet)
        }
        Event::Lose(index) => {
            simulation.in_transit.remove(index);
            Ok(())
        }
        Event::Sync(node) => simulation.sync(node, usize::MAX),
        Event::Crash(node) => {
            simulation.hosts[&node].crash(0);
            simulation.restart(node);
            Ok(())
        }
        Event::Propose(node) => simulation.propose(node),
    }
}

/// Returns a digest of the simulation's state, except times.
fn fingerprint(simulation: &Simulation) -> u64 {
    let mut state = DefaultHasher::new();
    for host in simulation.hosts.values() {
        host.hash_state(&mut state);
    }
    for packet in &simulation.in_transit {
        (packet.from, packet.to, &packet.message).hash(&mut state);
    }
    state.finish()
}
