//! Streams that callers take up again: where they began, and at which version of the
//! upstreams' software they may go on.

use {
    super::FrontHost,
    crate::gateway::{
        front::{in_flight::InFlight, refusal::Refusal, upstreams::Pool},
        meters,
        store::StoreClient,
    },
    futures_util::future::join_all,
    quay_policy::{RecordedOrigin, ResumeRefusal, StreamOrigin, StreamServices, StreamTerms},
    quay_routes::{CallHead, CallIds, Dialect, ResumedHead, Route},
    quay_types::{
        AttemptTag, ContentDigest, ProgramTag, RequestContent, ScopedId, ServiceId,
        SoftwareVersion, Time,
    },
    std::{pin::pin, time::Duration},
    tokio::{sync::oneshot, task::spawn_local, time::timeout},
};

/// Longest time for which a request waits for the origin of its stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for which the origin of a stream is offered to the stores.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an origin is recorded although the upstream has not yet told which
/// incarnation it is: more than a round trip between data centres.
const REPORT_GRACE: Duration = Duration::from_millis(30);

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
    /// Records which upstream began the stream of a request in flight, so that any front
    /// can tell where it may go on.
    ///
    /// Returns the end of the recording if the first event must wait for it: streams of
    /// the content may have begun at another version before, and their record would be
    /// taken for that of this stream.
    pub fn record_stream_origin(
        &self,
        ids: &CallIds<'_>,
        (route, content): (&Route, RequestContent),
        pool: &Pool<'_>,
        in_flight: &InFlight<D>,
    ) -> Option<oneshot::Receiver<()>> {
        let unix_time = Self::unix_time().since(Time::ZERO);
        let sent = Time::ZERO + unix_time.saturating_sub(in_flight.elapsed());
        let upstream = in_flight.upstream();
        let origin = self
            .upstreams()
            .stream_origin(self.now(), pool, upstream, sent);
        let record = OriginRecord {
            stores: self.stores().clone(),
            id: ids.head().id.clone(),
            program: ids.placement(),
            attempts: ids.attempts_named(&ids.head().id),
            contents: content.scoped(),
            contents_at: content_placement(ids, content),
            keep: route.timeout.saturating_mul(KEPT_TIMEOUTS),
        };
        let (tx, rx) = oneshot::channel();
        let (front, upstream) = (self.clone(), upstream.clone());
        let connected = in_flight.connected();
        spawn_local(async move {
            let confirm = front.confirm_run(&upstream, connected);
            record.write_confirmed(origin, confirm, tx).await;
        });
        // Without a program the same content may be sent to another service.
        let several_services = ids.budgets().is_none() && route.services().nth(1).is_some();
        let several = several_services || self.upstreams().has_several_versions(pool.service);
        several.then_some(rx)
    }

    /// Finds the service and the version at which a stream may go on. `drawn` is the service
    /// for requests that begin. If it is not certain, or no upstream of the version serves,
    /// the stream is refused.
    pub async fn resume_point<'r>(
        &self,
        ids: &CallIds<'_>,
        (resumed, content): (&ResumedHead, RequestContent),
        (route, drawn): (&'r Route, &'r str),
        ends: Time,
    ) -> Result<(&'r str, SoftwareVersion), Refusal> {
        let head = ids.head();
        let left = ends.since(self.now()).min(LOOKUP_TIMEOUT);
        let stores = self.stores();
        let recorded = if let Some(first) = &resumed.first_attempt {
            let [own, other] = ids.attempts_named(first).counted();
            let find = |attempt| stores.find_stream(ids.placement(), attempt, left);
            match find(own).await {
                RecordedOrigin::Absent => find(other).await,
                recorded => recorded,
            }
        } else {
            let placement = content_placement(ids, content);
            let [own, other] = content.scoped().counted();
            let find = |content| stores.find_content(placement, content, left);
            let (own, other) = tokio::join!(find(own), find(other));
            own.merge(other)
        };
        let services = StreamServices {
            drawn: ServiceId::of(drawn),
            targets: route.services().map(ServiceId::of).collect(),
            moved: self.has_moved(route),
        };
        let began = services.service(&recorded);
        let mut targets = route.services();
        let service = targets.find(|it| ServiceId::of(it) == began);
        let service = service.unwrap_or(drawn);
        let pool = &Pool::of(service);
        self.wait_for_service(pool, ends).await;
        let version = match self.decide_version(pool, resumed, recorded, &services) {
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
        serves
            .then_some((service, version))
            .ok_or(Refusal::VersionGone)
    }

    /// Whether a route had other services within the time for which its streams are recorded.
    fn has_moved(&self, route: &Route) -> bool {
        let since = self.time_since_move(route);
        since.is_some_and(|since| since < route.timeout.saturating_mul(KEPT_TIMEOUTS))
    }

    /// Decides by what the stores have recorded and by what this front knows.
    fn decide_version(
        &self,
        pool: &Pool<'_>,
        resumed: &ResumedHead,
        recorded: RecordedOrigin,
        services: &StreamServices,
    ) -> Result<SoftwareVersion, ResumeRefusal> {
        let named = resumed.first_attempt.is_some();
        let mut facts = self.upstreams().resume_facts(pool, named, recorded);
        if !self.control_is_fresh(self.now()) || !services.is_only_one() {
            facts.only_version = None;
        }
        facts.decide()
    }
}

/// Program whose stores keep the record of a content. Without a program each attempt has
/// another one, so the content takes its place.
fn content_placement(ids: &CallIds<'_>, content: RequestContent) -> ProgramTag {
    match ids.budgets() {
        Some(_) => ids.placement(),
        None => ProgramTag(content.own.to_u64()),
    }
}

/// Record of the origin of a stream.
struct OriginRecord {
    stores: StoreClient,
    /// Id of the request, for logs.
    id: Box<str>,
    program: ProgramTag,
    attempts: ScopedId<AttemptTag>,
    /// Content of the request, under which the stream is recorded as well.
    contents: ScopedId<ContentDigest>,
    /// Program whose stores keep that record.
    contents_at: ProgramTag,
    /// Time for which the record is kept.
    keep: Duration,
}

impl OriginRecord {
    /// Writes an origin once `confirm` tells whether the connection leads to the
    /// incarnation that was selected. If that takes long, an origin of unknown version is
    /// written meanwhile: without a record a stream might be taken for one of the only
    /// version. `written` is told of the first record.
    async fn write_confirmed(
        &self,
        origin: StreamOrigin,
        confirm: impl Future<Output = bool>,
        written: oneshot::Sender<()>,
    ) {
        let unknown = origin.with_unknown_version();
        let mut known = pin!(async { origin.is_version_known() && confirm.await });
        let in_time = timeout(REPORT_GRACE, &mut known).await;
        let first = if in_time == Ok(true) { origin } else { unknown };
        self.write(first).await;
        let _ = written.send(());
        if in_time.is_err() && known.await {
            self.write(origin).await;
        }
    }

    async fn write(&self, origin: StreamOrigin) {
        if !origin.is_version_known() {
            log::info!("event=stream_version_unknown id={}", self.id);
        }
        let keys = self.attempts.recorded().zip(self.contents.recorded());
        let group = |program| self.stores.group_of(program);
        let same_group = group(self.program) == group(self.contents_at);
        let records = keys.flat_map(|(attempt, content)| {
            let by_content = (self.contents_at, (attempt, Some(content)));
            let by_attempt = (self.program, (attempt, None));
            [Some(by_content), (!same_group).then_some(by_attempt)]
        });
        let records = records.flatten().map(|(program, key)| {
            let origin = (origin, self.keep);
            self.stores
                .record_stream(program, key, origin, RECORD_TIMEOUT)
        });
        if join_all(records).await.contains(&false) {
            log::warn!("event=stream_origin_unrecorded id={}", self.id);
        }
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
