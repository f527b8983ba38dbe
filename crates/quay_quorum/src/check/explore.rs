//! Every order of events up to a bounded depth.

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

/// What an exploration saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Exploration {
    /// Different states that were reached.
    pub states: u64,
    /// Moves that were made.
    pub transitions: u64,
    /// Depth that was explored completely.
    pub depth: u32,
    /// Greatest number of leaders on one path.
    pub elections: u64,
    /// Greatest number of committed entries on one path.
    pub commits: u64,
}

/// One event.
#[derive(Debug, Clone, Copy)]
enum Move {
    /// The election timeout of a replica passes.
    Timeout(NodeId),
    /// A message arrives; others may be older.
    Deliver(usize),
    /// A message gets lost.
    Lose(usize),
    /// A host syncs all that is queued.
    Sync(NodeId),
    /// A process dies, loses what was not synced and starts again.
    Crash(NodeId),
    /// The leader gets a command.
    Propose(NodeId),
}

/// Explores every order of events from a group whose first replica has just
/// won its election, until `depth` or `limit` states.
///
/// # Errors
///
/// The rule that is broken.
pub fn explore(replica: Settings, depth: u32, limit: usize) -> Result<Exploration, Violation> {
    let start = start(replica)?;
    let mut seen = IndexSet::from([fingerprint(&start)]);
    let mut queue = VecDeque::from([(0, start)]);
    let mut exploration = Exploration::default();
    while let Some((at, simulation)) = queue.pop_front() {
        exploration.depth = at;
        exploration.elections = exploration.elections.max(simulation.checker.elections());
        exploration.commits = exploration.commits.max(simulation.checker.commits());
        if at == depth || seen.len() >= limit {
            continue;
        }
        for next in moves(&simulation) {
            let mut simulation = simulation.clone();
            make(&mut simulation, next)?;
            exploration.transitions += 1;
            if seen.insert(fingerprint(&simulation)) {
                queue.push_back((at + 1, simulation));
            }
        }
    }
    exploration.states = seen.len() as u64;
    Ok(exploration)
}

/// A group whose first replica has just won its election.
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
    make(&mut simulation, Move::Timeout(nodes[0]))?;
    while simulation.leader().is_none() {
        for node in nodes {
            simulation.sync(node, usize::MAX)?;
        }
        if simulation.wire.is_empty() {
            break;
        }
        make(&mut simulation, Move::Deliver(0))?;
    }
    Ok(simulation)
}

/// The moves that may be made.
fn moves(simulation: &Simulation) -> Vec<Move> {
    let mut moves = Vec::new();
    for (node, host) in &simulation.hosts {
        moves.push(Move::Timeout(*node));
        moves.push(Move::Crash(*node));
        if host.is_dirty() {
            moves.push(Move::Sync(*node));
        }
        if host.replica.as_ref().is_some_and(crate::Replica::is_leader) {
            moves.push(Move::Propose(*node));
        }
    }
    for slot in 0..simulation.wire.len() {
        moves.push(Move::Deliver(slot));
        moves.push(Move::Lose(slot));
    }
    moves
}

/// Makes a move.
fn make(simulation: &mut Simulation, next: Move) -> Result<(), Violation> {
    match next {
        Move::Timeout(node) => {
            if let Some(replica) = &simulation.hosts[&node].replica {
                simulation.now = simulation.now.max(replica.deadline());
            }
            simulation.input(node, Input::Tick)
        }
        Move::Deliver(slot) => {
            let packet = simulation.wire.remove(slot);
            simulation.deliver(packet)
        }
        Move::Lose(slot) => {
            simulation.wire.remove(slot);
            Ok(())
        }
        Move::Sync(node) => simulation.sync(node, usize::MAX),
        Move::Crash(node) => {
            simulation.hosts[&node].crash(0);
            simulation.restart(node);
            Ok(())
        }
        Move::Propose(node) => simulation.propose(node),
    }
}

/// Digest of a state, but for the time.
fn fingerprint(simulation: &Simulation) -> u64 {
    let mut state = DefaultHasher::new();
    for host in simulation.hosts.values() {
        host.shape(&mut state);
    }
    for packet in &simulation.wire {
        (packet.from, packet.to, &packet.message).hash(&mut state);
    }
    state.finish()
}
