//! Advice on where the voters of a group should be.

use {crate::Membership, indexmap::IndexMap, std::fmt};

/// Voters that survive the loss of any one host.
const LEAST_VOTERS: usize = 3;

/// Why the places of the voters are a risk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAdvice {
    /// The loss of one host loses the quorum.
    TooFew(usize),
    /// An even number of voters bears no more losses than one voter fewer.
    EvenVoters(usize),
    /// The loss of this data centre loses the quorum.
    Concentrated {
        /// The data centre.
        data_centre: Box<str>,
        /// Voters there.
        voters: usize,
    },
}

impl fmt::Display for PlacementAdvice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooFew(voters) => write!(f, "{voters} voters do not survive a lost host"),
            Self::EvenVoters(voters) => {
                write!(f, "{voters} voters bear no more losses than one fewer")
            }
            Self::Concentrated {
                data_centre,
                voters,
            } => {
                write!(
                    f,
                    "{voters} voters are in data centre {data_centre}, whose loss loses the quorum"
                )
            }
        }
    }
}

/// Checks the places of the voters. A replica that waits to be made a learner
/// knows none, and gets no advice.
#[must_use]
pub fn placement_advice(members: &Membership) -> Vec<PlacementAdvice> {
    let voters = members.voters.len();
    let mut advice = Vec::new();
    if (1..LEAST_VOTERS).contains(&voters) {
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
    let concentrated = centres.into_iter().filter(|(_, held)| *held > spare);
    advice.extend(
        concentrated.map(|(data_centre, voters)| PlacementAdvice::Concentrated {
            data_centre: data_centre.into(),
            voters,
        }),
    );
    advice
}
