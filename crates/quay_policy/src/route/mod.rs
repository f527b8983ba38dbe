//! Selects an upstream for a call.

mod conversations;
mod load;
mod prefix_index;
mod rating;
mod router;
mod score;
mod settings;
mod speed;

/// Denominator of weights, factors and rates in thousandths.
const PER_MILLE: u64 = 1_000;

pub use {
    prefix_index::{FeedState, PrefixIndex, Slot},
    router::{RouteChoice, RouteRequest, Router},
    score::{ExpectedTime, LeastLoad, LongestPrefix, Score, UpstreamView},
    settings::RouteSettings,
    speed::{ResponseTimes, Speed},
};
