//! Pre-votes, votes, and the role changes that follow from them.

use {
    super::{LeaderState, Replica, Role},
    crate::{Action, Entry, Message, Mutation, Payload, Position, progress::Progress},
    indexmap::IndexSet,
    quay_types::{Epoch, LogIndex, NodeId, Time},
};

impl Replica {
    /// Handles a message.
    pub(super) fn on_message(&mut self, now: Time, from: NodeId, message: Message) {
        match message {
            Message::PreVote { term, last } => self.on_pre_vote(now, from, term, last),
            Message::Vote { term, last } => self.on_vote(now, from, term, last),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now, from, term, granted);
            }
            other => {
                if other.term() > self.hard_state.term {
                    self.become_follower(now, other.term(), None);
                }
                self.on_current_message(now, from, other);
            }
        }
    }

    /// Handles a message of the current or an earlier term.
    fn on_current_message(&mut self, now: Time, from: NodeId, message: Message) {
        let current = message.term() == self.hard_state.term;
        match message {
            Message::VoteReply { granted, .. } if current => self.on_vote_reply(now, from, granted),
            Message::AppendReply { outcome, .. } if current => {
                self.on_append_reply(now, from, outcome);
            }
            Message::HeartbeatReply { round, .. } if current => {
                self.on_heartbeat_reply(now, from, round);
            }
            Message::Append {
                prev,
                entries,
                commit,
                ..
            } if current => {
                self.record_leader_contact(now, from);
                self.on_append(from, prev, entries, commit);
            }
            Message::Heartbeat { commit, round, .. } if current => {
                self.record_leader_contact(now, from);
                self.on_heartbeat(from, commit, round);
            }
            Message::Snapshot { meta, data, .. } if current => {
                self.record_leader_contact(now, from);
                self.on_snapshot(from, meta, data);
            }
            // A deposed leader sent this message: the term in the reply makes
            // the sender step down.
            Message::Append { .. } | Message::Heartbeat { .. } | Message::Snapshot { .. } => {
                let term = self.hard_state.term;
                self.send_when_persisted(from, Message::HeartbeatReply { term, round: 0 });
            }
            _ => {}
        }
    }

    /// Becomes a follower and adopts `term` if it is later than the current
    /// one.
    pub(super) fn become_follower(&mut self, now: Time, term: Epoch, leader: Option<NodeId>) {
        assert!(term >= self.hard_state.term, "terms must not decrease");
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.hard_state_changed = true;
        }
        if self.role == Role::Leader {
            self.out.push(Action::SteppedDown);
            self.leader_state = LeaderState::default();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.pre_votes.clear();
        self.votes.clear();
        self.reset_deadline(now);
    }

    /// Records contact from the leader of the current term.
    fn record_leader_contact(&mut self, now: Time, from: NodeId) {
        assert!(self.role != Role::Leader, "at most one leader per term");
        assert!(
            self.leader.is_none_or(|leader| leader == from),
            "at most one leader per term"
        );
        if self.role != Role::Follower || self.leader.is_none() {
            self.become_follower(now, self.hard_state.term, Some(from));
        }
        self.last_leader_contact = Some(now);
        self.reset_deadline(now);
    }

    /// Whether this replica leads or has heard from a leader within the
    /// election timeout.
    fn leader_is_live(&self, now: Time) -> bool {
        let recent = |at| now.since(at) < self.cfg.election;
        self.role == Role::Leader
            || (self.leader.is_some() && self.last_leader_contact.is_some_and(recent))
    }

    /// Whether a candidate's log is at least as up to date as this one.
    fn is_up_to_date(&self, last: Position) -> bool {
        last >= self.log.last() || self.cfg.mutation == Mutation::IgnoreLogCompleteness
    }

    // -----------------------------------------------------------------------
    // Campaigning

    /// Starts a pre-vote, which asks the other voters whether they would vote
    /// for this replica. Votes of the current term still count meanwhile.
    pub(super) fn start_pre_vote(&mut self, now: Time) {
        self.reset_deadline(now);
        // A further term would void the votes that wait for the disk, and end the
        // campaigns of others.
        if !self.log.members().1.is_voter(self.node)
            || self.disk_lags()
            || !self.hard_state_is_persisted()
        {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.pre_votes.clear();
        let term = Epoch(self.hard_state.term.0 + 1);
        let last = self.log.last();
        self.send_to_voters(&Message::PreVote { term, last });
        self.on_pre_vote_reply(now, self.node, term, true);
    }

    /// Starts a new term and requests votes.
    fn campaign(&mut self, now: Time) {
        self.role = Role::Candidate;
        self.votes.clear();
        self.hard_state.term.0 += 1;
        self.hard_state.vote = Some(self.node);
        self.hard_state_changed = true;
        self.reset_deadline(now);
        let term = self.hard_state.term;
        let last = self.log.last();
        for to in self.other_voters() {
            self.send_when_persisted(to, Message::Vote { term, last });
        }
        // The replica's own vote also counts only once it is persisted.
        let granted = true;
        self.send_when_persisted(self.node, Message::VoteReply { term, granted });
    }

    /// Returns the voters except this replica.
    fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.log.members().1.voters.iter();
        voters
            .map(|member| member.node)
            .filter(|node| *node != self.node)
            .collect()
    }

    /// Sends a message to every other voter without waiting for a write.
    fn send_to_voters(&mut self, message: &Message) {
        for to in self.other_voters() {
            self.send(to, message.clone());
        }
    }

    /// Whether votes or pre-votes form a quorum.
    fn is_quorum(&self, votes: &IndexSet<NodeId>) -> bool {
        let members = self.log.members().1;
        let count = votes.iter().filter(|node| members.is_voter(**node)).count();
        count >= members.quorum()
    }

    // -----------------------------------------------------------------------
    // Voting

    /// Answers a pre-vote request.
    fn on_pre_vote(&mut self, now: Time, from: NodeId, term: Epoch, last: Position) {
        // While a vote waits for the disk, its candidate may still win the current term.
        let granted = term > self.hard_state.term
            && self.is_up_to_date(last)
            && !self.leader_is_live(now)
            && self.hard_state_is_persisted();
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, Message::PreVoteReply { term, granted });
    }

    /// Counts an answer to a pre-vote.
    fn on_pre_vote_reply(&mut self, now: Time, from: NodeId, term: Epoch, granted: bool) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(now, term, None);
            }
            return;
        }
        if self.role == Role::PreCandidate && term.0 == self.hard_state.term.0 + 1 {
            self.pre_votes.insert(from);
            if self.is_quorum(&self.pre_votes) {
                self.campaign(now);
            }
        }
    }

    /// Answers a vote request.
    fn on_vote(&mut self, now: Time, from: NodeId, term: Epoch, last: Position) {
        // A replica that returns from a partition must not depose a live
        // leader.
        if self.leader_is_live(now) && term > self.hard_state.term {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
        }
        let may_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term && may_vote && self.is_up_to_date(last);
        if granted {
            self.hard_state_changed |= self.hard_state.vote.is_none();
            self.hard_state.vote = Some(from);
            self.reset_deadline(now);
        }
        let term = self.hard_state.term;
        self.send_when_persisted(from, Message::VoteReply { term, granted });
    }

    /// Counts a vote.
    fn on_vote_reply(&mut self, now: Time, from: NodeId, granted: bool) {
        let campaigns = match self.role {
            Role::Candidate => true,
            // Without its own vote it has not campaigned since it started, and may have led
            // this term before.
            Role::PreCandidate => self.votes.contains(&self.node),
            Role::Follower | Role::Leader => false,
        };
        if !campaigns || !granted {
            return;
        }
        self.votes.insert(from);
        if self.is_quorum(&self.votes) {
            self.become_leader(now);
        }
    }

    /// Becomes the leader of the current term.
    fn become_leader(&mut self, now: Time) {
        assert!(
            self.role == Role::Candidate || self.votes.contains(&self.node),
            "only a candidate can become leader"
        );
        self.role = Role::Leader;
        self.leader = Some(self.node);
        let last = self.log.last().index;
        let first = LogIndex(last.0 + 1);
        self.leader_state = LeaderState {
            first,
            heartbeat_due: now,
            ..LeaderState::default()
        };
        self.out.push(Action::BecameLeader(self.hard_state.term));
        // Entries of earlier terms are committed together with the first entry
        // of this term.
        self.log.push(Entry {
            position: Position {
                term: self.hard_state.term,
                index: first,
            },
            payload: Payload::Empty,
        });
        self.sync_progress(now);
        for progress in self.leader_state.progress.values_mut() {
            *progress = Progress::new(first, now);
        }
    }
}
