//! Every order of events up to a bounded depth.

use {
    crate::{
        Input, Settings,
        check::{
            judge::Violation,
            world::{World, WorldSettings},
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
pub struct Explored {
    /// Different states that were reached.
    pub states: u64,
    /// Moves that were made.
    pub moves: u64,
    /// Depth that was explored whole.
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
pub fn explore(replica: Settings, depth: u32, limit: usize) -> Result<Explored, Violation> {
    let start = start(replica)?;
    let mut seen = IndexSet::from([fingerprint(&start)]);
    let mut queue = VecDeque::from([(0, start)]);
    let mut explored = Explored::default();
    while let Some((at, world)) = queue.pop_front() {
        explored.depth = at;
        explored.elections = explored.elections.max(world.judge.elections());
        explored.commits = explored.commits.max(world.judge.commits());
        if at == depth || seen.len() >= limit {
            continue;
        }
        for next in moves(&world) {
            let mut world = world.clone();
            make(&mut world, next)?;
            explored.moves += 1;
            if seen.insert(fingerprint(&world)) {
                queue.push_back((at + 1, world));
            }
        }
    }
    explored.states = seen.len() as u64;
    Ok(explored)
}

/// A group whose first replica has just won its election.
fn start(replica: Settings) -> Result<World, Violation> {
    let cfg = WorldSettings {
        loss: 0,
        duplicates: 0,
        delay: Duration::ZERO,
        clock_error: 0,
        replica,
        ..WorldSettings::default()
    };
    let mut world = World::new(cfg, 0);
    let nodes = [NodeId(1), NodeId(2), NodeId(3)];
    make(&mut world, Move::Timeout(nodes[0]))?;
    while world.leader().is_none() {
        for node in nodes {
            world.sync(node, usize::MAX)?;
        }
        if world.wire.is_empty() {
            break;
        }
        make(&mut world, Move::Deliver(0))?;
    }
    Ok(world)
}

/// The moves that may be made.
fn moves(world: &World) -> Vec<Move> {
    let mut moves = Vec::new();
    for (node, host) in &world.hosts {
        moves.push(Move::Timeout(*node));
        moves.push(Move::Crash(*node));
        if host.is_dirty() {
            moves.push(Move::Sync(*node));
        }
        if host.replica.as_ref().is_some_and(crate::Replica::leads) {
            moves.push(Move::Propose(*node));
        }
    }
    for slot in 0..world.wire.len() {
        moves.push(Move::Deliver(slot));
        moves.push(Move::Lose(slot));
    }
    moves
}

/// Makes a move.
fn make(world: &mut World, next: Move) -> Result<(), Violation> {
    match next {
        Move::Timeout(node) => {
            if let Some(replica) = &world.hosts[&node].replica {
                world.now = world.now.max(replica.deadline());
            }
            world.input(node, Input::Tick)
        }
        Move::Deliver(slot) => {
            let packet = world.wire.remove(slot);
            world.deliver(packet)
        }
        Move::Lose(slot) => {
            world.wire.remove(slot);
            Ok(())
        }
        Move::Sync(node) => world.sync(node, usize::MAX),
        Move::Crash(node) => {
            world.hosts[&node].crash(0);
            world.restart(node);
            Ok(())
        }
        Move::Propose(node) => world.propose(node),
    }
}

/// Digest of a state, but for the time.
fn fingerprint(world: &World) -> u64 {
    let mut state = DefaultHasher::new();
    for host in world.hosts.values() {
        host.shape(&mut state);
    }
    for packet in &world.wire {
        (packet.from, packet.to, &packet.message).hash(&mut state);
    }
    state.finish()
}
