//! Streams that callers take up again: where they began, and at which version of the
//! upstreams' software they may go on.

use {
    super::FrontHost,
    crate::gateway::{
        front::{
            refusal::Refusal,
            upstreams::{Pool, SelectedUpstream},
        },
        meters,
        store::StreamLookup,
    },
    quay_routes::{CallHead, CallIds, Dialect, ResumedHead, Route},
    quay_types::{SoftwareVersion, Time},
    std::time::Duration,
    tokio::task::spawn_local,
};

/// Longest time for which a request waits for the origin of its stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for which the origin of a stream is offered to the stores.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the origin of a stream is kept, as a multiple of the route's time-out.
const KEPT_TIMEOUTS: u32 = 4;

impl<D: Dialect> FrontHost<D> {
    /// Records which upstream began the stream of a request that was sent `ago`, so
    /// that any front can tell where it may go on.
    pub fn record_stream_origin(
        &self,
        ids: &CallIds<'_>,
        route: &Route,
        pool: &Pool<'_>,
        upstream: &SelectedUpstream,
        ago: Duration,
    ) {
        let unix_time = Self::unix_time().since(Time::ZERO);
        let sent = Time::ZERO + unix_time.saturating_sub(ago);
        let origin = self
            .upstreams()
            .stream_origin(self.now(), pool, upstream, sent);
        let Some(origin) = origin else {
            log::info!("event=stream_version_unknown id={}", ids.head().id);
            return;
        };
        let stores = self.stores().clone();
        let (id, program, attempt) = (ids.head().id.clone(), ids.program(), ids.attempt());
        let keep = route.timeout.saturating_mul(KEPT_TIMEOUTS);
        spawn_local(async move {
            if !stores
                .record_stream(program, attempt, (origin, keep), RECORD_TIMEOUT)
                .await
            {
                log::warn!("event=stream_origin_unrecorded id={id}");
            }
        });
    }

    /// Finds the version at which a stream may go on. If it is not certain, or no
    /// upstream of it serves, the stream is refused.
    pub async fn resumable_version(
        &self,
        ids: &CallIds<'_>,
        resumed: &ResumedHead,
        pool: &Pool<'_>,
        ends: Time,
    ) -> Result<SoftwareVersion, Refusal> {
        let head = ids.head();
        let found = match &resumed.first_attempt {
            Some(first) => self.stream_version(ids, first, pool, ends).await,
            None => self.only_version(pool.service),
        };
        let version = match found {
            Ok(version) => version,
            Err((refusal, cause)) => {
                log_decision(head, resumed, None, cause);
                return Err(refusal);
            }
        };
        let pool = Pool {
            version: Some(version),
            ..*pool
        };
        self.wait_for_service(&pool, ends).await;
        if !self.upstreams().serves(self.now(), &pool) {
            log_decision(head, resumed, Some(version), "version_gone");
            return Err(Refusal::VersionGone);
        }
        log_decision(head, resumed, Some(version), "goes_on");
        Ok(version)
    }

    /// Version of a stream whose first attempt the caller does not name.
    fn only_version(&self, service: &str) -> Result<SoftwareVersion, (Refusal, &'static str)> {
        let now = self.now();
        let only = self.upstreams().only_version(now, service);
        let only = only.filter(|_| self.control_is_fresh(now));
        only.ok_or((Refusal::StreamUnknown, "first_attempt_not_named"))
    }

    /// Version of the stream that `first` began.
    async fn stream_version(
        &self,
        ids: &CallIds<'_>,
        first: &str,
        pool: &Pool<'_>,
        ends: Time,
    ) -> Result<SoftwareVersion, (Refusal, &'static str)> {
        let left = ends.since(self.now()).min(LOOKUP_TIMEOUT);
        let (program, attempt) = (ids.program(), ids.attempt_named(first));
        match self.stores().find_stream(program, attempt, left).await {
            StreamLookup::Found(origin) => {
                let version = self.upstreams().resumable_at(pool, &origin);
                version.ok_or((Refusal::StreamUnknown, "uncertain"))
            }
            StreamLookup::Absent => Err((Refusal::StreamUnknown, "no_record")),
            StreamLookup::Undetermined => Err((Refusal::StoresUnsure, "stores_unsure")),
        }
    }
}

/// Logs and counts the decision whether a stream goes on.
fn log_decision(
    head: &CallHead,
    resumed: &ResumedHead,
    version: Option<SoftwareVersion>,
    decision: &'static str,
) {
    let version = version.map_or_else(|| "none".to_owned(), |it| it.to_string());
    log::info!(
        "event=resume_decided id={} first_attempt={} version={version} decision={decision}",
        head.id,
        resumed.first_attempt.as_deref().unwrap_or("none"),
    );
    meters::record_resumed_stream(decision);
}
