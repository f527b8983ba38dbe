//! Requests in flight from one host to each upstream, bounded by the upstream's
//! memory.

use {
    indexmap::IndexMap,
    quay_types::{Tokens, UpstreamId},
};

/// Tokens and requests of this host in flight to one upstream.
#[derive(Debug, Default)]
struct InFlight {
    tokens: u64,
    requests: u64,
}

/// Tokens of this host's requests in flight to each upstream.
///
/// An upstream crashes if the requests that it holds exceed its memory. A host knows
/// its own requests, and of others only the number that the upstream reports.
#[derive(Debug, Default)]
pub struct UpstreamShares {
    upstreams: IndexMap<UpstreamId, InFlight>,
}

impl UpstreamShares {
    /// Whether a request of `tokens` fits into an upstream that holds `capacity`
    /// tokens. `reported` is the number of requests that the upstream has from all
    /// hosts, if known; those of other hosts are assumed to be as large as the
    /// mean of this host's, including the new one. An unknown capacity never
    /// excludes an upstream, and the only request of this host there is always sent.
    #[must_use]
    pub fn fits(
        &self,
        upstream: UpstreamId,
        tokens: Tokens,
        capacity: Option<Tokens>,
        reported: Option<u64>,
    ) -> bool {
        let Some(capacity) = capacity else {
            return true;
        };
        let (own, requests) = self
            .upstreams
            .get(&upstream)
            .map_or((0, 0), |it| (it.tokens, it.requests));
        if requests == 0 {
            return true;
        }
        let own = own.saturating_add(tokens.0);
        let others = reported.unwrap_or_default().saturating_sub(requests);
        let foreign = (own / (requests + 1)).saturating_mul(others);
        own.saturating_add(foreign) <= capacity.0
    }

    /// Records that a request is sent to an upstream.
    pub fn begin(&mut self, upstream: UpstreamId, tokens: Tokens) {
        let share = self.upstreams.entry(upstream).or_default();
        share.tokens = share.tokens.saturating_add(tokens.0);
        share.requests += 1;
    }

    /// Records the end of a request.
    pub fn end(&mut self, upstream: UpstreamId, tokens: Tokens) {
        if let Some(share) = self.upstreams.get_mut(&upstream) {
            share.tokens = share.tokens.saturating_sub(tokens.0);
            share.requests = share.requests.saturating_sub(1);
            if share.requests == 0 {
                self.upstreams.swap_remove(&upstream);
            }
        }
    }
}
