//! Metrics of the process in Prometheus text.

use {
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    std::{sync::OnceLock, thread, time::Duration},
};

/// Bounds of the buckets of every duration, in seconds.
const BUCKETS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Interval at which recorded times are put into their buckets; until then each
/// takes eight bytes.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// The recorder's handle; one a process, whatever the number of roles.
static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts to record. Further calls change nothing.
pub fn start() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let builder = builder.set_buckets(BUCKETS_S).unwrap_or_default();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("event=metrics_off cause=\"another recorder is installed\"");
        }
        keep_up(handle.clone());
        handle
    });
}

/// Puts recorded times into their buckets again and again, also where nobody
/// reads them: until then each takes memory.
fn keep_up(handle: PrometheusHandle) {
    let started = thread::Builder::new()
        .name("metrics".into())
        .spawn(move || {
            loop {
                thread::sleep(UPKEEP_EVERY);
                handle.run_upkeep();
            }
        });
    if let Err(err) = started {
        log::error!("event=metrics_upkeep_off cause={err}");
    }
}

/// Every metric in Prometheus text.
#[must_use]
pub fn render() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
