//! Membership of a group and its changes.

use {
    quay_types::NodeId,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Node identity. A member that lost its disk rejoins under a new identity.
    pub node: NodeId,
    /// Address that the other members connect to.
    pub addr: SocketAddr,
    /// Data centre of the member's host.
    pub data_centre: Box<str>,
}

impl Member {
    /// Creates a member.
    #[must_use]
    pub fn new(node: NodeId, addr: SocketAddr, data_centre: impl Into<Box<str>>) -> Self {
        Self {
            node,
            addr,
            data_centre: data_centre.into(),
        }
    }
}

/// The voters and learners of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote and whose persisted entries count towards a quorum. No
    /// node occurs twice.
    pub voters: Vec<Member>,
    /// Members that receive entries but do not vote. No learner is also a
    /// voter.
    pub learners: Vec<Member>,
}

/// A change of the membership. Only one may be uncommitted at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a member that does not vote.
    AddLearner(Member),
    /// Turns a learner that has caught up into a voter.
    Promote(NodeId),
    /// Removes a voter or learner.
    Remove(NodeId),
}

impl Membership {
    /// Creates a membership without learners.
    #[must_use]
    pub fn from_voters(voters: impl IntoIterator<Item = Member>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: Vec::new(),
        }
    }

    /// Iterates over voters, then learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Finds a voter or learner by node identity.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.all().find(|member| member.node == node)
    }

    /// Whether a node is a voter.
    #[must_use]
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.iter().any(|member| member.node == node)
    }

    /// Number of voters that form a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the membership after a change; `None` if the change is not
    /// valid.
    ///
    /// The voter sets before and after differ by at most one node, so that
    /// every quorum of one set intersects every quorum of the other.
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
                let index = self
                    .learners
                    .iter()
                    .position(|member| member.node == *node)?;
                next.voters.push(next.learners.remove(index));
            }
            MembershipChange::Remove(node) => {
                self.get(*node)?;
                next.voters.retain(|member| member.node != *node);
                next.learners.retain(|member| member.node != *node);
                if next.voters.is_empty() {
                    return None;
                }
            }
        }
        Some(next)
    }

    /// Returns the greatest value that a quorum of voters has reached.
    pub(crate) fn quorum_value<T: Ord + Default>(&self, value: impl Fn(NodeId) -> T) -> T {
        let mut values: Vec<T> = self
            .voters
            .iter()
            .map(|member| value(member.node))
            .collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values
            .into_iter()
            .nth(self.quorum() - 1)
            .unwrap_or_default()
    }
}
