//! Decides on changes of the control group's membership.

use {
    quay_quorum::{Member, Membership, MembershipChange},
    quay_types::NodeId,
};

/// Inputs of [`next_membership_change`].
#[derive(Debug)]
pub struct MembershipInputs<'a> {
    /// Current members.
    pub members: &'a Membership,
    /// Replicas with a current request to join.
    pub joining: &'a [Member],
    /// Voters that have not answered within the silence limit.
    pub silent: &'a [NodeId],
    /// Target number of voters.
    pub voters: usize,
}

/// Returns the next membership change, if one is due.
///
/// A joining replica becomes a learner first. A replica at the address of a
/// voter has lost its disk and replaces that voter. Any other replica replaces
/// a silent voter, or fills a vacancy.
#[must_use]
pub fn next_membership_change(inputs: &MembershipInputs<'_>) -> Option<MembershipChange> {
    let members = inputs.members;
    if let Some(learner) = members.learners.first() {
        let still_joining = inputs.joining.iter().any(|it| it.node == learner.node);
        if !still_joining {
            return Some(MembershipChange::Remove(learner.node));
        }
        let same_addr = members.voters.iter().find(|it| it.addr == learner.addr);
        let full = members.voters.len() >= inputs.voters;
        let silent_voter = || {
            members
                .voters
                .iter()
                .find(|it| inputs.silent.contains(&it.node))
        };
        let leaving = same_addr.or_else(|| full.then(silent_voter).flatten());
        return Some(match leaving {
            Some(leaving) if members.voters.len() > 1 => MembershipChange::Remove(leaving.node),
            _ => MembershipChange::Promote(learner.node),
        });
    }
    let candidate = inputs.joining.iter().find(|it| {
        let is_member = members.get(it.node).is_some();
        let replaces = members.voters.iter().any(|voter| voter.addr == it.addr);
        let vacancy = members.voters.len() < inputs.voters || !inputs.silent.is_empty();
        !is_member && (replaces || vacancy)
    })?;
    Some(MembershipChange::AddLearner(candidate.clone()))
}
