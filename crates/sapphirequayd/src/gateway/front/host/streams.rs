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
    },
    quay_policy::{RecordedOrigin, ResumeRefusal, StreamTerms},
    quay_routes::{CallHead, CallIds, Dialect, ResumedHead, Route},
    quay_types::{ContentDigest, SoftwareVersion, Time},
    std::time::Duration,
    tokio::{sync::oneshot, task::spawn_local},
};

/// Longest time for which a request waits for the origin of its stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for which the origin of a stream is offered to the stores.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the origin of a stream is kept, as a multiple of the route's time-out.
const KEPT_TIMEOUTS: u32 = 4;

/// Refuses a request to take up a stream that must be begun anew. Asks nobody, so that the
/// caller can do that at once.
pub fn check_take_up(
    head: &CallHead,
    resumed: &ResumedHead,
    terms: StreamTerms,
) -> Result<(), Refusal> {
    terms.check_take_up().map_err(|cause| {
        log_decision(head, resumed, None, cause.name());
        meters::record_resumed_stream(cause.name());
        Refusal::NotResumable
    })
}

impl<D: Dialect> FrontHost<D> {
    /// Records which upstream began the stream of a request that was sent `ago`, so
    /// that any front can tell where it may go on.
    ///
    /// Returns the end of the recording if the first event must wait for it: streams of
    /// the content may have begun at another version before, and their record would be
    /// taken for that of this stream.
    pub fn record_stream_origin(
        &self,
        ids: &CallIds<'_>,
        (route, content): (&Route, ContentDigest),
        pool: &Pool<'_>,
        upstream: &SelectedUpstream,
        ago: Duration,
    ) -> Option<oneshot::Receiver<()>> {
        let unix_time = Self::unix_time().since(Time::ZERO);
        let sent = Time::ZERO + unix_time.saturating_sub(ago);
        let origin = self
            .upstreams()
            .stream_origin(self.now(), pool, upstream, sent);
        let Some(origin) = origin else {
            log::info!("event=stream_version_unknown id={}", ids.head().id);
            return None;
        };
        let stores = self.stores().clone();
        let (id, program, attempt) = (ids.head().id.clone(), ids.program(), ids.attempt());
        // Without a program the records of two attempts are in different groups.
        let content = ids.budget().map(|_| content);
        let keep = route.timeout.saturating_mul(KEPT_TIMEOUTS);
        let (tx, rx) = oneshot::channel();
        spawn_local(async move {
            if !stores
                .record_stream(program, (attempt, content), (origin, keep), RECORD_TIMEOUT)
                .await
            {
                log::warn!("event=stream_origin_unrecorded id={id}");
            }
            let _ = tx.send(());
        });
        self.upstreams()
            .has_several_versions(pool.service)
            .then_some(rx)
    }

    /// Finds the version at which a stream may go on. If it is not certain, or no
    /// upstream of it serves, the stream is refused.
    pub async fn resumable_version(
        &self,
        ids: &CallIds<'_>,
        (resumed, content): (&ResumedHead, ContentDigest),
        pool: &Pool<'_>,
        ends: Time,
    ) -> Result<SoftwareVersion, Refusal> {
        let head = ids.head();
        let left = ends.since(self.now()).min(LOOKUP_TIMEOUT);
        let program = ids.program();
        let recorded = match &resumed.first_attempt {
            Some(first) => {
                let attempt = ids.attempt_named(first);
                self.stores().find_stream(program, attempt, left).await
            }
            None if ids.budget().is_some() => {
                self.stores().find_content(program, content, left).await
            }
            None => RecordedOrigin::Absent,
        };
        let version = match self.decide_version(pool, resumed, recorded) {
            Ok(version) => version,
            Err(cause) => {
                log_decision(head, resumed, None, cause.name());
                meters::record_resumed_stream(cause.name());
                return Err(match cause {
                    ResumeRefusal::StoresUnsure => Refusal::StoresUnsure,
                    _ => Refusal::StreamUnknown,
                });
            }
        };
        let pool = Pool {
            version: Some(version),
            ..*pool
        };
        self.wait_for_service(&pool, ends).await;
        let serves = self.upstreams().serves(self.now(), &pool);
        let decision = if serves { "goes_on" } else { "version_gone" };
        log_decision(head, resumed, Some(version), decision);
        meters::record_resumed_stream(decision);
        serves.then_some(version).ok_or(Refusal::VersionGone)
    }

    /// Decides by what the stores have recorded and by what this front knows.
    fn decide_version(
        &self,
        pool: &Pool<'_>,
        resumed: &ResumedHead,
        recorded: RecordedOrigin,
    ) -> Result<SoftwareVersion, ResumeRefusal> {
        let named = resumed.first_attempt.is_some();
        let mut facts = self.upstreams().resume_facts(pool, named, recorded);
        if !self.control_is_fresh(self.now()) {
            facts.only_version = None;
        }
        facts.decide()
    }
}

/// Logs the decision whether a stream goes on.
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
}
