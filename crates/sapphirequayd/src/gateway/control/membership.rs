//! Decides on changes of the control group's membership.

use {
    quay_quorum::{Member, Membership, MembershipChange},
    quay_types::NodeId,
    std::net::SocketAddr,
};

/// Inputs of [`next_membership_change`].
#[derive(Debug)]
pub struct MembershipInputs<'a> {
    /// Current members.
    pub members: &'a Membership,
    /// Replicas with a current request to join.
    pub joining: &'a [Member],
    /// Members that have nearly all entries.
    pub caught_up: &'a [NodeId],
    /// Voters that have not answered within the silence limit.
    pub silent: &'a [NodeId],
    /// Target number of voters.
    pub voters: usize,
}

/// Returns the next membership change, if one is due.
///
/// A joining replica becomes a learner first. A replica at the address of a
/// voter has lost its disk and replaces that voter. Any other replica replaces
/// a silent voter, or fills a vacancy. A voter stays until the learner that
/// replaces it has caught up, so that no change leaves fewer copies of the log.
#[must_use]
pub fn next_membership_change(inputs: &MembershipInputs<'_>) -> Option<MembershipChange> {
    inputs
        .abandoned_learner()
        .map(|it| MembershipChange::Remove(it.node))
        .or_else(|| inputs.change_for_learner())
        .or_else(|| inputs.addition())
}

impl<'a> MembershipInputs<'a> {
    /// A learner that no longer asks to join.
    fn abandoned_learner(&self) -> Option<&'a Member> {
        let joins = |node| self.joining.iter().any(|it| it.node == node);
        self.members.learners.iter().find(|it| !joins(it.node))
    }

    /// The voter at an address, if any.
    fn voter_at(&self, addr: SocketAddr) -> Option<&'a Member> {
        self.members.voters.iter().find(|it| it.addr == addr)
    }

    /// The silent voters whose addresses no learner has.
    fn silent_voters(&self) -> impl Iterator<Item = &'a Member> {
        let members = self.members;
        let replaced =
            move |voter: &Member| members.learners.iter().any(|it| it.addr == voter.addr);
        let silent = self.silent;
        let voters = members.voters.iter();
        voters.filter(move |it| silent.contains(&it.node) && !replaced(it))
    }

    /// Removes the voter that a learner replaces once the learner has caught up, and
    /// then promotes the learner.
    fn change_for_learner(&self) -> Option<MembershipChange> {
        let voters = self.members.voters.len();
        let mut learners = self.members.learners.iter();
        learners.find_map(|learner| {
            if !self.caught_up.contains(&learner.node) {
                return None;
            }
            let same_addr = self.voter_at(learner.addr);
            let silent = || {
                self.silent_voters()
                    .next()
                    .filter(|_| voters >= self.voters)
            };
            match same_addr.or_else(silent) {
                Some(leaving) if voters > 1 => Some(MembershipChange::Remove(leaving.node)),
                _ if voters < self.voters => Some(MembershipChange::Promote(learner.node)),
                _ => None,
            }
        })
    }

    /// Adds a joining replica as a learner if there is a place for it beside the
    /// learners.
    fn addition(&self) -> Option<MembershipChange> {
        let members = self.members;
        let others = members.learners.iter();
        let others = others.filter(|it| self.voter_at(it.addr).is_none()).count();
        let vacancies = self.voters.saturating_sub(members.voters.len());
        let places = vacancies.max(self.silent_voters().count());
        let candidate = self.joining.iter().find(|it| {
            let is_member = members.get(it.node).is_some();
            let addr_taken = members
                .learners
                .iter()
                .any(|learner| learner.addr == it.addr);
            let replaces = self.voter_at(it.addr).is_some();
            !is_member && !addr_taken && (replaces || others < places)
        })?;
        Some(MembershipChange::AddLearner(candidate.clone()))
    }
}
