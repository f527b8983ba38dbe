//! Which upstream a request goes to.

use {
    indexmap::IndexMap,
    quay_members::{ChangesRequest, DirectoryView},
    quay_policy::{ExpectedTime, RouteRequest, RouteSettings, Router},
    quay_routes::{CallHead, block_hashes, branch_ids, token_count},
    quay_types::{
        Announcement, CallTarget, DirectoryEntry, Load, ProgramId, ServiceId, Time, Tokens,
        UpstreamId, UpstreamKind, UpstreamState,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time for which an upstream that could not be reached is passed over.
const SUSPENDED: Duration = Duration::from_millis(500);

/// Age from which on a report of load says nothing about the requests of others.
const REPORT_COUNTS: Duration = Duration::from_secs(1);

/// An upstream chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chosen {
    /// The upstream.
    pub id: UpstreamId,
    /// Its name, as it announces itself.
    pub name: Box<str>,
    /// Its address.
    pub addr: SocketAddr,
}

#[derive(Debug)]
struct Known {
    announcement: Announcement,
    /// Requests of this front that it has.
    in_flight: u32,
    /// When it last told its load.
    reported: Option<Time>,
    /// Until when it is passed over.
    suspended: Time,
}

/// The upstreams that this front knows.
#[derive(Debug)]
pub struct Upstreams {
    router: Router<ExpectedTime>,
    view: DirectoryView,
    known: IndexMap<UpstreamId, Known>,
}

impl Upstreams {
    /// Nothing is known yet. `data_centre` is the front's own.
    pub fn new(data_centre: &str) -> Self {
        let cfg = RouteSettings {
            // Speeds of the engines in the deployments' tables: 368 tokens are
            // prefilled in a ms, a step takes 0.76 ms and 0.03 ms more for each
            // running request, an answer has about 260 tokens.
            prefill_us: 3,
            // A prefill holds up each running request for as long as it takes.
            prefix_per_running: 1_000,
            per_running_us: 30,
            answer_tokens: 260,
            token_gap_us: 760,
            spread: Duration::from_millis(1),
            // The directory has leases of its own.
            silent_after: Duration::from_hours(1),
            stale_after: Duration::from_hours(1),
            stale_cost: Duration::ZERO,
            ..RouteSettings::default()
        };
        Self {
            router: Router::new(cfg, data_centre),
            view: DirectoryView::default(),
            known: IndexMap::new(),
        }
    }

    // -----------------------------------------------------------------------
    // What is learned

    /// The question about changes of the directory.
    pub fn ask(&mut self, reader: u64) -> ChangesRequest {
        self.view.next_request(reader)
    }

    /// Takes changes of the directory.
    pub fn learn(&mut self, now: Time, changes: quay_members::Changes) {
        if !self.view.apply(now, changes) {
            // The next question asks for everything.
            self.view = DirectoryView::default();
            return;
        }
        let entries = self.view.entries(now);
        for entry in &entries {
            self.learn_entry(now, entry);
        }
        let listed: Vec<UpstreamId> = entries
            .iter()
            .map(|it| it.announcement.upstream())
            .collect();
        self.known.retain(|id, _| listed.contains(id));
        self.router.retain_only(&listed);
    }

    fn learn_entry(&mut self, now: Time, entry: &DirectoryEntry) {
        let id = entry.announcement.upstream();
        let announcement = Announcement {
            sequence: 0,
            load: Load::default(),
            ..entry.announcement.clone()
        };
        match self.known.get_mut(&id) {
            Some(known) if known.announcement == announcement => {}
            Some(known) if known.announcement.incarnation == announcement.incarnation => {
                known.announcement = announcement;
                self.tell_router(now, id, None);
            }
            _ => {
                log::info!(
                    "event=upstream_known upstream={} run={} addr={} state={:?}",
                    announcement.name,
                    announcement.incarnation,
                    announcement.addr,
                    announcement.state
                );
                let known = Known {
                    announcement,
                    in_flight: 0,
                    reported: None,
                    suspended: Time::ZERO,
                };
                self.known.insert(id, known);
                self.tell_router(now, id, None);
            }
        }
    }

    /// Tells the router of an upstream, with its load if it was reported.
    fn tell_router(&mut self, now: Time, id: UpstreamId, reported: Option<Load>) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        let load = reported.unwrap_or(Load {
            running: known.in_flight,
            ..Load::default()
        });
        known.reported = reported.map(|_| now);
        let announcement = Announcement {
            load,
            ..known.announcement.clone()
        };
        self.router.apply_announcement(now, &announcement);
    }

    /// Takes an upstream's report of its load: running, waiting, slots.
    pub fn reported(&mut self, now: Time, id: UpstreamId, (running, waiting, _): (u32, u32, u32)) {
        let load = Load {
            running,
            queued: waiting,
            ..Load::default()
        };
        self.tell_router(now, id, Some(load));
    }

    /// A request has ended well at an upstream; `took` is the time of its unit
    /// of work, an event of a stream or a whole answer.
    pub fn served(&mut self, now: Time, id: UpstreamId, took: Duration) {
        self.router.record_success(now, id, took);
    }

    /// An upstream lost or spoilt a request.
    pub fn failed(&mut self, now: Time, id: UpstreamId) {
        self.router.record_failure(now, id);
    }

    /// Counts only own requests where the last report is old.
    pub fn tick(&mut self, now: Time) {
        let old: Vec<UpstreamId> = self
            .known
            .iter()
            .filter(|(_, known)| {
                known
                    .reported
                    .is_some_and(|at| now.since(at) > REPORT_COUNTS)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.tell_router(now, id, None);
        }
    }

    /// An upstream could not be reached; it is passed over for a while.
    pub fn unreachable(&mut self, now: Time, id: UpstreamId) {
        if let Some(known) = self.known.get_mut(&id) {
            known.suspended = now + SUSPENDED;
        }
    }

    // -----------------------------------------------------------------------
    // What is decided

    /// Whether any upstream that takes requests serves a service.
    pub fn serves(&self, service: &str) -> bool {
        let wanted = ServiceId::of(service);
        self.known.values().any(|known| {
            let kind = &known.announcement.kind;
            known.announcement.state == UpstreamState::Serving
                && matches!(kind, UpstreamKind::Service { service } if *service == wanted)
        })
    }

    /// Chooses an upstream of a service and counts the request as sent to it.
    pub fn choose(
        &mut self,
        now: Time,
        service: &str,
        head: &CallHead,
        tried: &[UpstreamId],
        draw: u64,
    ) -> Option<Chosen> {
        let suspended = self.known.iter().filter(|(_, it)| it.suspended > now);
        let mut passed_over: Vec<UpstreamId> = suspended.map(|(id, _)| *id).collect();
        passed_over.extend_from_slice(tried);
        let blocks = block_hashes(&head.prompt);
        let program = head.program.as_deref().unwrap_or(&head.id);
        let lines = branch_ids(&head.prompt);
        let goes_on = head.turn.as_ref().is_some_and(|turn| turn.prior.is_some());
        let mut req = RouteRequest {
            target: CallTarget::Service(ServiceId::of(service)),
            program: ProgramId::root(UpstreamId::of(program).0),
            has_history: goes_on || lines.len() > 1,
            conversations: &lines,
            prompt: Tokens(token_count(&head.prompt)),
            blocks: &blocks,
            tried: &passed_over,
        };
        let choice = self.router.pick(now, &req, draw).or_else(|| {
            // Those that could not be reached are better than none.
            req.tried = tried;
            self.router.pick(now, &req, draw)
        })?;
        let known = self.known.get_mut(&choice.upstream)?;
        known.in_flight += 1;
        Some(Chosen {
            id: choice.upstream,
            name: known.announcement.name.clone(),
            addr: choice.addr,
        })
    }

    /// A request that was sent to an upstream has ended.
    pub fn ended(&mut self, now: Time, id: UpstreamId) {
        if let Some(known) = self.known.get_mut(&id) {
            known.in_flight = known.in_flight.saturating_sub(1);
            self.router.record_end(now, id);
        }
    }
}
