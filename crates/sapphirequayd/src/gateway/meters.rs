//! What a gateway counts and times. Labels only take values that the code names.

use {
    metrics::{counter, gauge, histogram},
    std::time::Duration,
};

/// A part of the time that a call takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// From the call's arrival until it is sent to an upstream.
    Wait,
    /// From there until the upstream's first answer.
    First,
    /// From there until the upstream's last byte.
    Stream,
    /// From there until the turn is durable.
    Keep,
}

impl Stage {
    const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::First => "first",
            Self::Stream => "stream",
            Self::Keep => "keep",
        }
    }
}

/// A call was answered, by an upstream or by the front.
pub fn record_call(status: u16, took: Duration) {
    let class = match status {
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        500..600 => "5xx",
        _ => "other",
    };
    counter!("sapphirequay_calls_total", "status" => class).increment(1);
    histogram!("sapphirequay_call_seconds").record(took);
}

/// A call was refused.
pub fn record_refusal(kind: &'static str) {
    counter!("sapphirequay_refusals_total", "kind" => kind).increment(1);
}

/// A call has gone through a stage.
pub fn record_stage(stage: Stage, took: Duration) {
    histogram!("sapphirequay_stage_seconds", "stage" => stage.name()).record(took);
}

/// An upstream got a call and gave no usable answer.
pub fn record_lost_attempt(cause: &'static str) {
    counter!("sapphirequay_attempts_lost_total", "cause" => cause).increment(1);
}

/// What a front believes, and how old that is.
#[allow(clippy::cast_precision_loss)]
pub fn set_front(callers: usize, control_age: Option<Duration>, table: u64, stores: u64) {
    gauge!("sapphirequay_callers_connected").set(callers as f64);
    let age = control_age.map_or(f64::INFINITY, |age| age.as_secs_f64());
    gauge!("sapphirequay_control_age_seconds").set(age);
    gauge!("sapphirequay_table_revision").set(table as f64);
    gauge!("sapphirequay_stores_version").set(stores as f64);
}

/// Whether this control host leads.
pub fn set_leader(leads: bool) {
    gauge!("sapphirequay_leads").set(f64::from(u8::from(leads)));
}

/// A store has written and synced records together.
#[allow(clippy::cast_precision_loss)]
pub fn record_sync(records: usize, took: Duration) {
    counter!("sapphirequay_store_records_total").increment(records as u64);
    histogram!("sapphirequay_store_sync_seconds").record(took);
}

/// What a store holds.
#[allow(clippy::cast_precision_loss)]
pub fn set_store(turns: usize, whole: bool) {
    gauge!("sapphirequay_store_turns").set(turns as f64);
    gauge!("sapphirequay_store_whole").set(f64::from(u8::from(whole)));
}
