//! Who belongs to a group, and changes of it.

use {
    quay_types::NodeId,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identity; a member that lost its disk comes back under a new one.
    pub node: NodeId,
    /// Address of its links.
    pub addr: SocketAddr,
    /// Data centre of its host.
    pub data_centre: Box<str>,
}

impl Member {
    /// A member.
    #[must_use]
    pub fn new(node: NodeId, addr: SocketAddr, data_centre: impl Into<Box<str>>) -> Self {
        Self {
            node,
            addr,
            data_centre: data_centre.into(),
        }
    }
}

/// Members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose saved entries count towards a quorum. No node twice.
    pub voters: Vec<Member>,
    /// Members that receive entries and have no vote. None is a voter too.
    pub learners: Vec<Member>,
}

/// A change of the members; only one may be open at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a member without a vote.
    AddLearner(Member),
    /// Gives a learner that has caught up a vote.
    Promote(NodeId),
    /// Takes a member out.
    Remove(NodeId),
}

impl Membership {
    /// A group of voters.
    #[must_use]
    pub fn from_voters(voters: impl IntoIterator<Item = Member>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: Vec::new(),
        }
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// The member with an identity.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.all().find(|member| member.node == node)
    }

    /// Whether a node has a vote.
    #[must_use]
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.iter().any(|member| member.node == node)
    }

    /// Voters that make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The members after a change; `None` if it does not fit.
    ///
    /// The sets of voters before and after differ by one at most, so that each
    /// quorum of one meets each quorum of the other.
    #[must_use]
    pub fn with_change(&self, change: &MembershipChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(member) => {
                if self.get(member.node).is_some() {
                    return None;
                }
                next.learners.push(member.clone());
            }
            MembershipChange::Promote(node) => {
                let at = self.learners.iter().position(|held| held.node == *node)?;
                next.voters.push(next.learners.remove(at));
            }
            MembershipChange::Remove(node) => {
                self.get(*node)?;
                next.voters.retain(|held| held.node != *node);
                next.learners.retain(|held| held.node != *node);
                if next.voters.is_empty() {
                    return None;
                }
            }
        }
        Some(next)
    }

    /// The greatest value that a quorum of voters has reached.
    pub(crate) fn reached<T: Ord + Default>(&self, value: impl Fn(NodeId) -> T) -> T {
        let mut values: Vec<T> = self.voters.iter().map(|held| value(held.node)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values
            .into_iter()
            .nth(self.quorum() - 1)
            .unwrap_or_default()
    }
}
