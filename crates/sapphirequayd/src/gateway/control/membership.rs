//! Which replicas belong to the control group.

use {
    quay_quorum::{Member, Membership, MembershipChange},
    quay_types::NodeId,
};

/// What the leader knows when it decides on members.
#[derive(Debug)]
pub struct MembershipInputs<'a> {
    /// Members now.
    pub members: &'a Membership,
    /// Replicas that ask to join, and still do.
    pub joining: &'a [Member],
    /// Voters that have not answered for a while.
    pub silent: &'a [NodeId],
    /// Voters that the group should have.
    pub voters: usize,
}

/// The next change of members, if one is due.
///
/// A newcomer is a learner first. One that comes back at a member's address
/// has lost its disk and takes that member's place; any other takes the place
/// of a silent voter, or a free one.
#[must_use]
pub fn next_membership_change(view: &MembershipInputs<'_>) -> Option<MembershipChange> {
    let members = view.members;
    if let Some(learner) = members.learners.first() {
        let joins = view.joining.iter().any(|it| it.node == learner.node);
        if !joins {
            return Some(MembershipChange::Remove(learner.node));
        }
        let replaced = members.voters.iter().find(|it| it.addr == learner.addr);
        let full = members.voters.len() >= view.voters;
        let silent = || {
            members
                .voters
                .iter()
                .find(|it| view.silent.contains(&it.node))
        };
        let out = replaced.or_else(|| full.then(silent).flatten());
        return Some(match out {
            Some(out) if members.voters.len() > 1 => MembershipChange::Remove(out.node),
            _ => MembershipChange::Promote(learner.node),
        });
    }
    let newcomer = view.joining.iter().find(|it| {
        let member = members.get(it.node).is_some();
        let replaces = members.voters.iter().any(|voter| voter.addr == it.addr);
        let room = members.voters.len() < view.voters || !view.silent.is_empty();
        !member && (replaces || room)
    })?;
    Some(MembershipChange::AddLearner(newcomer.clone()))
}
