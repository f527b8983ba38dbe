//! Reports in which upstreams name their incarnations.

use {
    super::FrontHost,
    crate::gateway::{
        front::{
            body_reader::read_response,
            connections::{Lease, SendError},
            history::ForwardedBody,
            upstreams::SelectedUpstream,
        },
        meters,
        request_body::RequestBody,
    },
    http::HeaderMap,
    indexmap::IndexMap,
    quay_policy::ReportResult,
    quay_routes::Dialect,
    quay_types::{Incarnation, Time, UpstreamId},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{sync::Mutex, time::timeout},
};

/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Locks by which an upstream is asked for one report at a time: a report holds for all
/// connections that wait for one.
#[derive(Debug, Default)]
pub struct ReportTurns(RefCell<IndexMap<UpstreamId, Rc<Mutex<()>>>>);

impl ReportTurns {
    fn of(&self, upstream: UpstreamId) -> Rc<Mutex<()>> {
        let mut turns = self.0.borrow_mut();
        turns.retain(|_, turn| Rc::strong_count(turn) > 1);
        Rc::clone(turns.entry(upstream).or_default())
    }
}

impl<D: Dialect> FrontHost<D> {
    /// Whether a connection that was set up at `connected`, and is in use, leads to the
    /// selected incarnation of an upstream. Asks the upstream on another connection if
    /// that is unknown.
    pub async fn confirm_run(&self, upstream: &SelectedUpstream, connected: Time) -> bool {
        let turn = self.0.report_turns.of(upstream.id);
        let _turn = turn.lock().await;
        if self.is_confirmed(upstream, connected) {
            return true;
        }
        loop {
            let Ok(mut lease) = self.connections().lease(upstream.addr).await else {
                return false;
            };
            let reused = lease.reused();
            match self.ask_report(upstream, &mut lease).await {
                Ok(Some(headers)) => {
                    self.connections().give_back(lease, &headers);
                    return true;
                }
                Err(SendError::NotSent) if reused => {}
                Ok(None) | Err(_) => return false,
            }
        }
    }

    /// Whether a connection leads to the selected incarnation of an upstream. Asks on the
    /// connection itself if that is unknown.
    ///
    /// # Errors
    ///
    /// If there is no response.
    pub async fn confirm_lease(
        &self,
        upstream: &SelectedUpstream,
        lease: &mut Lease,
    ) -> Result<bool, SendError> {
        if self.is_confirmed(upstream, lease.connected()) {
            return Ok(true);
        }
        let confirmed = self.ask_report(upstream, lease).await?;
        Ok(confirmed.is_some() && lease.ready().await)
    }

    fn is_confirmed(&self, upstream: &SelectedUpstream, connected: Time) -> bool {
        let upstreams = self.upstreams();
        upstreams
            .named_runs()
            .is_reached_by(upstream.run(), connected)
    }

    /// Asks an upstream for a report. Returns its headers if it names the selected
    /// incarnation.
    async fn ask_report(
        &self,
        upstream: &SelectedUpstream,
        lease: &mut Lease,
    ) -> Result<Option<HeaderMap>, SendError> {
        let asked = self.now();
        if !self.upstreams().named_runs().may_ask(asked, upstream.run()) {
            return Ok(None);
        }
        let reported = timeout(REPORT_TIMEOUT, self.read_report(upstream, lease)).await;
        let (named, headers) = match reported {
            Ok(Err(SendError::NotSent)) => return Err(SendError::NotSent),
            Ok(Ok(report)) => report,
            Ok(Err(SendError::Unknown(_))) | Err(_) => (None, HeaderMap::new()),
        };
        let now = self.now();
        let result = self.upstreams().record_report(now, upstream, asked, named);
        meters::record_upstream_report(result.name());
        if result == ReportResult::Named {
            return Ok(Some(headers));
        }
        log::warn!(
            "event=upstream_unconfirmed upstream={} run={} named={}",
            upstream.name,
            upstream.incarnation,
            named.map_or_else(|| "none".to_owned(), |it| it.to_string())
        );
        if result == ReportResult::Another {
            self.record_ended(upstream);
        }
        Ok(None)
    }

    /// Reads a report: the incarnation that it names, if any, and its headers.
    async fn read_report(
        &self,
        upstream: &SelectedUpstream,
        lease: &mut Lease,
    ) -> Result<(Option<Incarnation>, HeaderMap), SendError> {
        let req = self.dialect().report_request(upstream.addr);
        let req = req.map(|()| ForwardedBody::from(RequestBody::default()));
        let (head, body) = lease.send(req).await?.into_parts();
        let mut share = self.buffers().share_for(None);
        let body = read_response(body, &mut share).await;
        let report = body.filter(|_| head.status.is_success());
        let named = report.and_then(|it| self.dialect().parse_report(&it));
        Ok((named, head.headers))
    }
}
