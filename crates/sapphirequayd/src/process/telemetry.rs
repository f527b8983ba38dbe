//! Records metrics of the process and renders them in the Prometheus text
//! format.

use {
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    std::{sync::OnceLock, thread, time::Duration},
};

/// Upper bounds of the buckets of duration histograms, in seconds.
const BUCKETS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Interval at which recorded durations are moved into histogram buckets; until
/// then each duration occupies eight bytes.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Handle of the metrics recorder, which all roles of the process share.
static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder. Further calls have no effect.
pub fn start() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let builder = builder.set_buckets(BUCKETS_S).unwrap_or_default();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("event=metrics_off cause=\"another recorder is installed\"");
        }
        start_upkeep(handle.clone());
        handle
    });
}

/// Starts a thread that moves recorded durations into histogram buckets, so that
/// memory stays bounded even if the metrics are never read.
fn start_upkeep(handle: PrometheusHandle) {
    let started = thread::Builder::new()
        .name("metrics".into())
        .spawn(move || {
            loop {
                thread::sleep(UPKEEP_INTERVAL);
                handle.run_upkeep();
            }
        });
    if let Err(err) = started {
        log::error!("event=metrics_upkeep_off cause={err}");
    }
}

/// Renders all metrics in the Prometheus text format.
#[must_use]
pub fn render() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
