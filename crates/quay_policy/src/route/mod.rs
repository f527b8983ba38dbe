//! Choice of an upstream for a call.

mod cache_book;
mod health;
mod lines;
mod load;
mod router;
mod score;
mod settings;

pub use {
    cache_book::{CacheBook, FeedState, Slot},
    router::{Choice, RouteRequest, Router},
    score::{ExpectedTime, LeastLoad, LongestPrefix, Score, UpstreamView},
    settings::RouteSettings,
};
