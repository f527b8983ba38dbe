//! Pre-votes, votes and what follows from them.

use {
    super::{Lead, Replica, Role},
    crate::{Action, Entry, Message, Mutation, Payload, Position, progress::Progress},
    quay_types::{Epoch, LogIndex, NodeId, Time},
};

impl Replica {
    /// Takes a message.
    pub(super) fn message(&mut self, now: Time, from: NodeId, message: Message) {
        match message {
            Message::PreVote { term, last } => self.on_pre_vote(now, from, term, last),
            Message::Vote { term, last } => self.on_vote(now, from, term, last),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now, from, term, granted);
            }
            other => {
                if other.term() > self.hard_state.term {
                    self.follow(now, other.term(), None);
                }
                self.current_message(now, from, other);
            }
        }
    }

    /// Takes a message of this term or an earlier one.
    fn current_message(&mut self, now: Time, from: NodeId, message: Message) {
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
                self.hear_leader(now, from);
                self.on_append(from, prev, entries, commit);
            }
            Message::Heartbeat { commit, round, .. } if current => {
                self.hear_leader(now, from);
                self.on_heartbeat(from, commit, round);
            }
            Message::Snapshot { meta, data, .. } if current => {
                self.hear_leader(now, from);
                self.on_snapshot(from, meta, data);
            }
            // The sender leads no longer and learns it from the term.
            Message::Append { .. } | Message::Heartbeat { .. } | Message::Snapshot { .. } => {
                let term = self.hard_state.term;
                self.send_when_saved(from, Message::HeartbeatReply { term, round: 0 });
            }
            _ => {}
        }
    }

    /// Becomes a follower, in a later term if one is given.
    pub(super) fn follow(&mut self, now: Time, term: Epoch, leader: Option<NodeId>) {
        assert!(term >= self.hard_state.term, "terms never fall");
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.hard_state_changed = true;
        }
        if self.role == Role::Leader {
            self.out.push(Action::SteppedDown);
            self.lead = Lead::default();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reset_deadline(now);
    }

    /// Takes a sign of life from the leader of this term.
    fn hear_leader(&mut self, now: Time, from: NodeId) {
        assert!(self.role != Role::Leader, "one leader a term");
        assert!(
            self.leader.is_none_or(|leader| leader == from),
            "one leader a term"
        );
        if self.role != Role::Follower || self.leader.is_none() {
            self.follow(now, self.hard_state.term, Some(from));
        }
        self.leader_heard = Some(now);
        self.reset_deadline(now);
    }

    /// Whether a leader has been heard of late, so that no other is needed.
    fn leader_lives(&self, now: Time) -> bool {
        let heard = |at| now.since(at) < self.cfg.election;
        self.role == Role::Leader || (self.leader.is_some() && self.leader_heard.is_some_and(heard))
    }

    /// Whether a candidate's log is as complete as this one.
    fn complete(&self, last: Position) -> bool {
        last >= self.log.last() || self.cfg.mutation == Mutation::IgnoreLogCompleteness
    }

    // -----------------------------------------------------------------------
    // Asking

    /// Asks whether the others would vote for this replica.
    pub(super) fn ask_for_votes(&mut self, now: Time) {
        self.reset_deadline(now);
        if !self.log.members().1.is_voter(self.node) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        let term = Epoch(self.hard_state.term.0 + 1);
        let last = self.log.last();
        self.send_to_voters(&Message::PreVote { term, last });
        self.on_pre_vote_reply(now, self.node, term, true);
    }

    /// Starts a new term and asks for votes.
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
            self.send_when_saved(to, Message::Vote { term, last });
        }
        // The own vote counts once it is saved, like any other.
        let granted = true;
        self.send_when_saved(self.node, Message::VoteReply { term, granted });
    }

    /// Voters but this replica.
    fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.log.members().1.voters.iter();
        voters
            .map(|member| member.node)
            .filter(|node| *node != self.node)
            .collect()
    }

    /// Sends a message to every other voter at once.
    fn send_to_voters(&mut self, message: &Message) {
        for to in self.other_voters() {
            self.send(to, message.clone());
        }
    }

    /// Whether the votes make a quorum.
    fn elected(&self) -> bool {
        let members = self.log.members().1;
        let count = self
            .votes
            .iter()
            .filter(|node| members.is_voter(**node))
            .count();
        count >= members.quorum()
    }

    // -----------------------------------------------------------------------
    // Answering

    /// Answers whether a vote would be granted.
    fn on_pre_vote(&mut self, now: Time, from: NodeId, term: Epoch, last: Position) {
        let granted = term > self.hard_state.term && self.complete(last) && !self.leader_lives(now);
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, Message::PreVoteReply { term, granted });
    }

    /// Counts an answer to a pre-vote.
    fn on_pre_vote_reply(&mut self, now: Time, from: NodeId, term: Epoch, granted: bool) {
        if !granted {
            if term > self.hard_state.term {
                self.follow(now, term, None);
            }
            return;
        }
        if self.role == Role::PreCandidate && term.0 == self.hard_state.term.0 + 1 {
            self.votes.insert(from);
            if self.elected() {
                self.campaign(now);
            }
        }
    }

    /// Answers a request for a vote.
    fn on_vote(&mut self, now: Time, from: NodeId, term: Epoch, last: Position) {
        // A replica that was cut off must not depose a leader that works.
        if self.leader_lives(now) && term > self.hard_state.term {
            return;
        }
        if term > self.hard_state.term {
            self.follow(now, term, None);
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term && free && self.complete(last);
        if granted {
            self.hard_state_changed |= self.hard_state.vote.is_none();
            self.hard_state.vote = Some(from);
            self.reset_deadline(now);
        }
        let term = self.hard_state.term;
        self.send_when_saved(from, Message::VoteReply { term, granted });
    }

    /// Counts a vote.
    fn on_vote_reply(&mut self, now: Time, from: NodeId, granted: bool) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from);
        if self.elected() {
            self.become_leader(now);
        }
    }

    /// Leads from now on.
    fn become_leader(&mut self, now: Time) {
        assert!(self.role == Role::Candidate, "only a candidate is elected");
        self.role = Role::Leader;
        self.leader = Some(self.node);
        let last = self.log.last().index;
        let first = LogIndex(last.0 + 1);
        self.lead = Lead {
            first,
            heartbeat_due: now,
            ..Lead::default()
        };
        self.out.push(Action::BecameLeader(self.hard_state.term));
        // Entries of earlier terms commit with the first entry of this one.
        self.log.push(Entry {
            position: Position {
                term: self.hard_state.term,
                index: first,
            },
            payload: Payload::Empty,
        });
        self.sync_progress(now);
        for progress in self.lead.progress.values_mut() {
            *progress = Progress::new(first, now);
        }
    }
}
