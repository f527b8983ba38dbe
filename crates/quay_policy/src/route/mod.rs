//! Choice of an upstream for a call.

mod cache_book;
mod lines;
mod load;
mod rating;
mod router;
mod score;
mod settings;

/// Scale of weights, factors and rates.
const PER_MILLE: u64 = 1_000;

pub use {
    cache_book::{CacheBook, FeedState, Slot},
    router::{Choice, RouteRequest, Router},
    score::{ExpectedTime, LeastLoad, LongestPrefix, Score, UpstreamView},
    settings::RouteSettings,
};
