//! Selects an upstream for a call.

mod beginnings;
mod conversations;
mod load;
mod prefix_index;
mod rating;
mod router;
mod score;
mod settings;

/// Denominator of weights, factors and rates in thousandths.
const PER_MILLE: u64 = 1_000;

pub use {
    beginnings::PromptBeginning,
    prefix_index::{FeedState, PrefixIndex, Slot},
    router::{RouteChoice, RouteRequest, Router},
    score::{ExpectedTime, LeastLoad, LongestPrefix, Score, UpstreamView},
    settings::RouteSettings,
};
