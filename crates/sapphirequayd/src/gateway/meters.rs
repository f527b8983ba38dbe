//! Metrics of a gateway. Labels take only values from a fixed set in the code, or a
//! bounded number of accounts' names, which bounds the number of time series.

use {
    metrics::{counter, gauge, histogram},
    quay_policy::{MemoryClass, Shortage},
    std::time::Duration,
};

/// Stage of a request, timed separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// From the request's arrival until it is sent to an upstream.
    Wait,
    /// From then until the head of the upstream's response.
    FirstResponse,
    /// From the sending until the upstream's last byte.
    Stream,
    /// From then until the turn is durable.
    Persist,
}

impl Stage {
    const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::FirstResponse => "first",
            Self::Stream => "stream",
            Self::Persist => "keep",
        }
    }
}

/// Counts and times a request answered by an upstream or by the front itself.
pub fn record_call(status: u16, duration: Duration) {
    let class = match status {
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        500..600 => "5xx",
        _ => "other",
    };
    counter!("sapphirequay_calls_total", "status" => class).increment(1);
    histogram!("sapphirequay_call_seconds").record(duration);
}

/// Counts a request that the front refused.
pub fn record_refusal(kind: &'static str) {
    counter!("sapphirequay_refusals_total", "kind" => kind).increment(1);
}

/// Counts a request of an account with a limit, by whether it got a permit.
pub fn record_account(account: &str, outcome: &'static str) {
    let account = account.to_owned();
    counter!("sapphirequay_account_requests_total", "account" => account, "outcome" => outcome)
        .increment(1);
}

/// Records the duration of a stage of a request.
pub fn record_stage(stage: Stage, duration: Duration) {
    histogram!("sapphirequay_stage_seconds", "stage" => stage.name()).record(duration);
}

/// Counts an attempt to which the upstream gave no usable response.
pub fn record_lost_attempt(cause: &'static str) {
    counter!("sapphirequay_attempts_lost_total", "cause" => cause).increment(1);
}

/// Counts a request that takes up a stream, by what was decided.
pub fn record_resumed_stream(decision: &'static str) {
    counter!("sapphirequay_resumed_streams_total", "decision" => decision).increment(1);
}

/// Counts charges that a front wrote to a store which lacked them.
pub fn record_completed_charges(charges: usize) {
    counter!("sapphirequay_charges_completed_total").increment(charges as u64);
}

/// Counts a report of an upstream, by what it says of the incarnation that was selected.
pub fn record_upstream_report(result: &'static str) {
    counter!("sapphirequay_upstream_reports_total", "result" => result).increment(1);
}

/// Counts an upstream that ended while it ran requests of this front.
pub fn record_upstream_crash() {
    counter!("sapphirequay_upstream_crashes_total").increment(1);
}

/// Sets the number of upstreams that have named a limit to this front.
#[allow(clippy::cast_precision_loss)]
pub fn set_limited_upstreams(count: usize) {
    gauge!("sapphirequay_limited_upstreams").set(count as f64);
}

/// Sets the gauges of a front. `control_age` is the time since the last update
/// from the control group; `table` and `stores` are versions in use.
#[allow(clippy::cast_precision_loss)]
pub fn set_front(callers: usize, control_age: Option<Duration>, table: u64, stores: u64) {
    gauge!("sapphirequay_callers_connected").set(callers as f64);
    let age = control_age.map_or(f64::INFINITY, |age| age.as_secs_f64());
    gauge!("sapphirequay_control_age_seconds").set(age);
    gauge!("sapphirequay_table_revision").set(table as f64);
    gauge!("sapphirequay_stores_version").set(stores as f64);
}

/// Counts a reservation of memory that was refused, by the share that is full.
pub fn record_memory_refusal(class: MemoryClass, shortage: Shortage) {
    let share = match shortage {
        Shortage::Caller => "caller",
        Shortage::Account => "account",
        Shortage::Host => "host",
    };
    counter!("sapphirequay_memory_refusals_total", "class" => class.name(), "share" => share)
        .increment(1);
}

/// Counts a slow reader that was disconnected since memory was short.
pub fn record_reader_disconnected() {
    counter!("sapphirequay_readers_disconnected_total").increment(1);
}

/// Counts a caller that was disconnected, by the reason.
pub fn record_caller_disconnected(reason: &'static str) {
    counter!("sapphirequay_callers_disconnected_total", "reason" => reason).increment(1);
}

/// Counts a connection that was closed at once, since all others carry requests.
pub fn record_connection_refused() {
    counter!("sapphirequay_connections_refused_total").increment(1);
}

/// Sets the bytes in use of a class of memory.
#[allow(clippy::cast_precision_loss)]
pub fn set_memory(class: MemoryClass, bytes: u64) {
    gauge!("sapphirequay_memory_bytes", "class" => class.name()).set(bytes as f64);
}

/// Sets the gauge that tells whether this control host is the leader.
pub fn set_leader(leads: bool) {
    gauge!("sapphirequay_leads").set(f64::from(u8::from(leads)));
}

/// Counts records that a store synced in one batch and times the sync.
#[allow(clippy::cast_precision_loss)]
pub fn record_sync(records: usize, duration: Duration) {
    counter!("sapphirequay_store_records_total").increment(records as u64);
    histogram!("sapphirequay_store_sync_seconds").record(duration);
}

/// Counts conversations that are sent to upstreams in pages, as they don't fit into the cache.
pub fn record_paged_history() {
    counter!("sapphirequay_paged_histories_total").increment(1);
}

/// Counts turns that a store copied from other stores.
pub fn record_copied_turns(turns: usize) {
    counter!("sapphirequay_store_copied_turns_total").increment(turns as u64);
}

/// Sets the number of streams whose origin a store remembers.
#[allow(clippy::cast_precision_loss)]
pub fn set_stream_origins(count: usize) {
    gauge!("sapphirequay_stream_origins").set(count as f64);
}

/// Sets the gauges of a store: its number of turns and whether its copy is
/// complete.
#[allow(clippy::cast_precision_loss)]
pub fn set_store(turns: usize, missing: usize, whole: bool) {
    gauge!("sapphirequay_store_turns").set(turns as f64);
    gauge!("sapphirequay_store_missing_turns").set(missing as f64);
    gauge!("sapphirequay_store_whole").set(f64::from(u8::from(whole)));
}
