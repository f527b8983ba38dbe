//! What the leader of the control group holds beside the replicated state.

use {
    super::state::ControlState,
    crate::gateway::messages::{ControlCommand, Mark, News},
    indexmap::{IndexMap, IndexSet},
    quay_members::{Changes, Directory, Heartbeat, MembersReply, MembersSettings},
    quay_quorum::{Member, Membership},
    quay_turns::{MembershipPlanner, MembershipSettings, StoreAnnouncement, StoreView},
    quay_types::{Announcement, Incarnation, NodeId, Time, UpstreamId, UpstreamState},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        ops::Bound::{Excluded, Unbounded},
        time::Duration,
    },
};

/// Age up to which a confirmed state is told to followers.
const FRESH: Duration = Duration::from_millis(600);

/// How long a request to join counts.
const JOIN_COUNTS: Duration = Duration::from_secs(2);

/// How long a follower that does not ask any more is told to others: several of
/// its questions, which come every 0.4 s at the least.
const FOLLOWER_COUNTS: Duration = Duration::from_secs(3);

/// Other followers that one is told of: two may be lost, and one cut off too.
const FOLLOWERS_TOLD: usize = 4;

/// Soft state of the leader; a new leader starts with an empty one.
#[derive(Debug)]
pub struct LeaderState {
    /// Replicated state as a quorum has confirmed it last.
    pub state: ControlState,
    /// When it was confirmed.
    confirmed: Time,
    directory: Directory,
    /// Latest announcement of each upstream.
    announced: IndexMap<UpstreamId, Announcement>,
    /// Which store hosts have been heard.
    pub roster: MembershipPlanner,
    /// Replicas that ask to join.
    joins: IndexMap<NodeId, (Member, Time)>,
    /// Since when voters do not answer.
    silent: IndexMap<NodeId, Time>,
    /// Members of the group.
    pub members: Membership,
    /// When followers asked last, by their links.
    followers: BTreeMap<SocketAddr, Time>,
}

impl LeaderState {
    /// The leader from now on; `run` must differ from that of earlier leaders.
    pub fn new(now: Time, run: u64, state: ControlState, losses: usize) -> Self {
        let members = MembersSettings {
            // Workers of the deployments' tables say they live every 1.2 s, at
            // times seconds late.
            heartbeat: Duration::from_millis(1_200),
            lease: Duration::from_secs(8),
            ..MembersSettings::default()
        };
        let roster = MembershipSettings {
            members: 2 * losses + 1,
            ..MembershipSettings::default()
        };
        Self {
            state,
            confirmed: now,
            directory: Directory::new(now, run, members),
            announced: IndexMap::new(),
            roster: MembershipPlanner::new(roster, now),
            joins: IndexMap::new(),
            silent: IndexMap::new(),
            members: Membership::default(),
            followers: BTreeMap::new(),
        }
    }

    /// Takes that a quorum has confirmed the state, or a newer one.
    pub fn confirm(&mut self, now: Time, newer: Option<ControlState>) -> bool {
        self.confirmed = now;
        let changed = newer.is_some();
        if let Some(state) = newer {
            self.state = state;
            self.mark_departed(now);
        }
        changed
    }

    /// Whether followers may be told what is held.
    pub fn fresh(&self, now: Time) -> bool {
        now.since(self.confirmed) < FRESH
    }

    /// Drops upstreams that have fallen silent.
    pub fn tick(&mut self, now: Time) {
        self.directory.tick(now);
        self.joins
            .retain(|_, (_, heard)| now.since(*heard) < JOIN_COUNTS);
        self.followers
            .retain(|_, heard| now.since(*heard) < FOLLOWER_COUNTS);
    }

    // -----------------------------------------------------------------------
    // Upstreams

    /// The run of an upstream that gets no new work according to an
    /// announcement, unless that is known.
    pub fn departing(&self, announcement: &Announcement) -> Option<ControlCommand> {
        let leaves = announcement.state != UpstreamState::Serving;
        let known = self.state.departures.get(&announcement.name);
        let run = announcement.incarnation;
        (leaves && known < Some(&run))
            .then(|| ControlCommand::Depart(announcement.name.clone(), run))
    }

    /// The run that an upstream ends when it leaves without saying which.
    pub fn leaving_run(&self, name: &str, named: Option<Incarnation>, wall_ms: u64) -> Incarnation {
        let announced = self.announced.get(&UpstreamId::of(name));
        named
            .or(announced.map(|it| it.incarnation))
            // Runs are numbered by the Unix millisecond of their start.
            .unwrap_or(Incarnation(wall_ms))
    }

    /// Takes an announcement.
    pub fn announce(&mut self, now: Time, announcement: Announcement) {
        let id = announcement.upstream();
        let known = self.announced.get(&id);
        let same = known.is_some_and(|known| {
            let bare = Announcement {
                sequence: announcement.sequence,
                ..known.clone()
            };
            bare == announcement
        });
        let older = known.is_some_and(|known| {
            let order = |of: &Announcement| (of.incarnation, of.sequence);
            order(&announcement) < order(known)
        });
        if older {
            return;
        }
        let heartbeat = Heartbeat {
            upstream: id,
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            acked: announcement.sequence,
            state: announcement.state,
            load: announcement.load,
        };
        let heard = same && self.directory.heartbeat(now, &heartbeat) != MembersReply::Unknown;
        if !heard {
            log::info!(
                "event=upstream_announced upstream={} run={} addr={} state={:?}",
                announcement.name,
                announcement.incarnation,
                announcement.addr,
                announcement.state
            );
            self.directory.announce(now, announcement.clone());
        }
        self.announced.insert(id, announcement);
        self.mark_departed(now);
    }

    /// Marks the upstreams whose run is known to get no new work.
    fn mark_departed(&mut self, now: Time) {
        let departed = self.announced.iter().filter(|(_, it)| {
            let run = self.state.departures.get(&it.name);
            run.is_some_and(|run| *run >= it.incarnation)
        });
        let departed: IndexSet<UpstreamId> = departed.map(|(id, _)| *id).collect();
        self.directory.set_drained(now, departed);
    }

    // -----------------------------------------------------------------------
    // Followers

    /// What a follower does not know yet; `None` if there is nothing.
    pub fn news(&mut self, now: Time, mark: &Mark) -> Option<News> {
        self.followers.insert(mark.link, now);
        let directory = self.directory.changes(now, &mark.directory);
        let held = self.state.table.as_ref();
        let revision = held.map_or(0, |table| table.revision);
        let table = held.filter(|_| revision > mark.revision).cloned();
        let stores = &self.state.stores;
        let stores = (stores.version != mark.stores).then(|| stores.clone());
        if is_empty(&directory) && table.is_none() && stores.is_none() {
            return None;
        }
        Some(News {
            version: self.state.version,
            table,
            stores,
            directory,
            controls: self.controls(),
            followers: self.followers_beside(mark.link),
        })
    }

    /// News without anything new, which tell that the leader lives.
    pub fn no_news(&mut self, now: Time, mark: &Mark) -> News {
        News {
            version: self.state.version,
            table: None,
            stores: None,
            directory: self.directory.changes(now, &mark.directory),
            controls: self.controls(),
            followers: self.followers_beside(mark.link),
        }
    }

    /// The followers that come after one in the order of their links, so that
    /// each is known to a few others however many there are.
    fn followers_beside(&self, link: SocketAddr) -> Vec<SocketAddr> {
        let after = self.followers.range((Excluded(link), Unbounded));
        let before = self.followers.range(..link);
        let beside = after.chain(before).map(|(other, _)| *other);
        beside.take(FOLLOWERS_TOLD).collect()
    }

    /// Links of all control hosts.
    fn controls(&self) -> Vec<SocketAddr> {
        self.members.all().map(|member| member.addr).collect()
    }

    // -----------------------------------------------------------------------
    // Members and stores

    /// Takes that a replica wants to join.
    pub fn join(&mut self, now: Time, member: Member) {
        self.joins.insert(member.node, (member, now));
    }

    /// Replicas that want to join.
    pub fn joining(&self) -> Vec<Member> {
        let joins = self.joins.values();
        joins.map(|(member, _)| member.clone()).collect()
    }

    /// Notes whether a voter answers; tells since when it does not.
    pub fn answered(&mut self, now: Time, node: NodeId, answers: bool) -> Option<Duration> {
        if answers {
            self.silent.shift_remove(&node);
            return None;
        }
        let since = *self.silent.entry(node).or_insert(now);
        Some(now.since(since))
    }

    /// Takes what a store host says.
    pub fn hello(&mut self, now: Time, hello: StoreAnnouncement) -> StoreView {
        self.roster.record_announcement(now, hello);
        self.state.stores.clone()
    }
}

/// Whether changes tell nothing.
fn is_empty(changes: &Changes) -> bool {
    !changes.reset
        && changes.full.is_empty()
        && changes.loads.is_empty()
        && changes.removed.is_empty()
}
