//! Warnings about the distribution of a group's voters.

use {crate::Membership, indexmap::IndexMap, std::fmt};

/// Smallest number of voters that keeps a quorum after the loss of any one
/// host.
const MIN_VOTERS: usize = 3;

/// A risk in the distribution of the voters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAdvice {
    /// The loss of one host loses the quorum. Holds the number of voters.
    TooFew(usize),
    /// An even number of voters tolerates no more failures than one voter
    /// fewer. Holds the number of voters.
    EvenVoters(usize),
    /// The loss of this data centre loses the quorum.
    Concentrated {
        /// Name of the data centre.
        data_centre: Box<str>,
        /// Number of voters in the data centre.
        voters: usize,
    },
}

impl fmt::Display for PlacementAdvice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooFew(voters) => write!(f, "{voters} voters do not tolerate the loss of a host"),
            Self::EvenVoters(voters) => {
                write!(
                    f,
                    "{voters} voters tolerate no more failures than one voter fewer"
                )
            }
            Self::Concentrated {
                data_centre,
                voters,
            } => {
                write!(
                    f,
                    "{voters} voters are in data centre {data_centre}, so its loss loses the quorum"
                )
            }
        }
    }
}

/// Checks the distribution of the voters over hosts and data centres. Returns
/// nothing for a replica that has not joined a group yet, since its membership
/// is empty.
#[must_use]
pub fn placement_advice(members: &Membership) -> Vec<PlacementAdvice> {
    let voters = members.voters.len();
    let mut advice = Vec::new();
    if (1..MIN_VOTERS).contains(&voters) {
        advice.push(PlacementAdvice::TooFew(voters));
    }
    if voters > 0 && voters.is_multiple_of(2) {
        advice.push(PlacementAdvice::EvenVoters(voters));
    }
    let mut centres: IndexMap<&str, usize> = IndexMap::new();
    for member in &members.voters {
        *centres.entry(&member.data_centre).or_default() += 1;
    }
    let spare = voters.saturating_sub(members.quorum());
    let concentrated = centres.into_iter().filter(|(_, count)| *count > spare);
    advice.extend(
        concentrated.map(|(data_centre, voters)| PlacementAdvice::Concentrated {
            data_centre: data_centre.into(),
            voters,
        }),
    );
    advice
}
