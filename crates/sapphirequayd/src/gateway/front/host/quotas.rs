//! Permits of a front for the requests of accounts with a limit.

use {
    super::FrontHost,
    crate::gateway::{
        account_limits,
        front::refusal::{Refusal, Refused},
        messages::{ControlReply, ControlRequest},
    },
    quay_policy::{FleetQuotaHolder, Permission, QuotaView},
    quay_routes::{CallerAccount, Dialect, RoutingTable},
    quay_types::{AccountId, Time},
    std::{cell::Cell, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Time-out of a message to the control leader.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which a request waits for a permit.
const PERMIT_WAIT: Duration = Duration::from_millis(400);

/// Time after which requests that got no permit may cause another message.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// Interval of wake-ups while no account has a limit.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Signals between requests and the task that takes permits for them.
#[derive(Debug, Default)]
pub struct QuotaSignals {
    /// Notified when a request begins to wait.
    wanted: Notify,
    /// Notified when a reply has been applied, or a message was not answered.
    arrived: Notify,
}

/// Permit of one request. Dropping it returns it unless it was spent.
#[derive(Debug)]
pub struct QuotaPermit<D: Dialect> {
    front: FrontHost<D>,
    account: AccountId,
    begins: bool,
    shared: bool,
    spent: Cell<bool>,
}

impl<D: Dialect> QuotaPermit<D> {
    /// Records that an upstream may run the request.
    pub fn spend(&self) {
        if !self.spent.replace(true) {
            let mut quotas = self.front.0.quotas.borrow_mut();
            quotas.spend(self.account, self.begins, self.shared);
        }
    }

    /// Records that no upstream has run the request or will.
    pub fn unspend(&self) {
        if self.spent.replace(false) {
            let mut quotas = self.front.0.quotas.borrow_mut();
            quotas.unspend(self.account, self.begins, self.shared);
        }
    }
}

impl<D: Dialect> Drop for QuotaPermit<D> {
    fn drop(&mut self) {
        if !self.spent.get() {
            let mut quotas = self.front.0.quotas.borrow_mut();
            quotas.give_back(self.account, self.shared);
        }
    }
}

/// Counts a request among those that wait for a permit.
struct Waiting<'a, D: Dialect> {
    front: &'a FrontHost<D>,
    account: AccountId,
    begins: bool,
}

impl<'a, D: Dialect> Waiting<'a, D> {
    fn new(front: &'a FrontHost<D>, account: AccountId, begins: bool) -> Self {
        front.0.quotas.borrow_mut().begin_wait(account, begins);
        Self {
            front,
            account,
            begins,
        }
    }
}

impl<D: Dialect> Drop for Waiting<'_, D> {
    fn drop(&mut self) {
        let mut quotas = self.front.0.quotas.borrow_mut();
        quotas.end_wait(self.account, self.begins);
    }
}

impl<D: Dialect> FrontHost<D> {
    /// Refuses a request if its account is so far over its limit that no request of it
    /// would get a permit.
    pub fn check_quota(&self, account: &CallerAccount<'_>, draw: u64) -> Result<(), Refused> {
        let quotas = self.0.quotas.borrow();
        let Some(wait) = quotas.saturated(self.now(), account.id, false) else {
            return Ok(());
        };
        self.0
            .account_meters
            .borrow_mut()
            .record(account.name, true);
        Err(quota_exceeded(wait, draw))
    }

    /// Takes a permit for a request of an account, for which it may wait until
    /// `ends`; `begins` says that the request begins a program. Returns `None` if the
    /// account has no limit.
    pub async fn quota_permit(
        &self,
        account: &CallerAccount<'_>,
        begins: bool,
        ends: Time,
        draw: u64,
    ) -> Result<Option<QuotaPermit<D>>, Refused> {
        let permit = self.take_permit(account.id, begins, ends, draw).await;
        if !matches!(permit, Ok(None)) {
            let mut meters = self.0.account_meters.borrow_mut();
            meters.record(account.name, permit.is_err());
        }
        permit
    }

    async fn take_permit(
        &self,
        account: AccountId,
        begins: bool,
        ends: Time,
        draw: u64,
    ) -> Result<Option<QuotaPermit<D>>, Refused> {
        let ends = ends.min(self.now() + PERMIT_WAIT);
        let mut waited = false;
        loop {
            let now = self.now();
            let arrived = self.0.quota_signals.arrived.notified();
            tokio::pin!(arrived);
            arrived.as_mut().enable();
            let permission = (self.0.quotas.borrow_mut()).permit(now, account, begins, waited);
            let left = ends.since(now);
            match permission {
                Permission::Unlimited => return Ok(None),
                Permission::Granted { shared } => {
                    return Ok(Some(QuotaPermit {
                        front: self.clone(),
                        account,
                        begins,
                        shared,
                        spent: Cell::default(),
                    }));
                }
                Permission::Refused(after) if after < left => sleep(after).await,
                Permission::Refused(after) => return Err(quota_exceeded(after, draw)),
                Permission::Wait if left.is_zero() => {
                    return Err(quota_exceeded(Duration::ZERO, draw));
                }
                Permission::Wait => {
                    let _waiting = Waiting::new(self, account, begins);
                    self.0.quota_signals.wanted.notify_one();
                    let _ = timeout(left, arrived).await;
                }
            }
            waited = true;
        }
    }

    /// Puts the accounts' limits of a table into effect.
    pub(super) fn set_account_limits(&self, table: &RoutingTable) {
        let mut quotas = self.0.quotas.borrow_mut();
        let first = !quotas.is_limiting();
        self.0.quota_signals.wanted.notify_one();
        let changed = quotas.set_limits(table.revision, account_limits(table));
        let age = quotas.age(self.now());
        if first && !changed.is_empty() {
            log::info!(
                "event=quotas_known accounts={} version={}",
                changed.len(),
                table.revision
            );
            return;
        }
        for view in changed {
            log_view("quota_changed", &view, table, age);
        }
    }

    /// Time until a message may be due.
    fn next_quota_message(&self) -> Duration {
        let quotas = self.0.quotas.borrow();
        let due = quotas.next_due(self.now()).unwrap_or(IDLE_INTERVAL);
        if quotas.waits() {
            due.min(ASK_AGAIN)
        } else {
            due
        }
    }

    /// Sends messages to the control leader when they are due, in a loop.
    pub(super) async fn request_quotas(self) {
        loop {
            let due = self.next_quota_message();
            let _ = timeout(due, self.0.quota_signals.wanted.notified()).await;
            let sent = self.now();
            let req = self.0.quotas.borrow_mut().next_request(sent);
            let Some(req) = req else {
                continue;
            };
            let asked = ControlRequest::TakeQuota(req.clone());
            let reply = self.0.control.request(asked, QUOTA_TIMEOUT).await;
            let now = self.now();
            if let Some(ControlReply::Quota(reply)) = reply {
                let changed = (self.0.quotas.borrow_mut()).accept(now, sent, &req, &reply);
                if let Some(table) = self.table() {
                    for view in changed {
                        log_view("quota_scarcity", &view, &table, Some(now.since(sent)));
                    }
                }
            }
            self.0.quota_signals.arrived.notify_waiters();
            let pause = self.0.quotas.borrow().pause();
            sleep(pause).await;
        }
    }

    /// Returns the permits of a front that ends.
    pub(super) async fn leave_quotas(&self) {
        let last = self.0.quotas.borrow_mut().leave(self.now());
        if let Some(last) = last {
            let asked = ControlRequest::TakeQuota(last);
            let _ = self.0.control.request(asked, QUOTA_TIMEOUT).await;
        }
    }
}

/// Refusal of a request whose account is over its limit until `wait` has passed.
fn quota_exceeded(wait: Duration, draw: u64) -> Refused {
    Refused {
        reason: Refusal::QuotaExceeded,
        retry_after: Some(FleetQuotaHolder::return_delay(wait, draw)),
    }
}

/// Logs a change in the front's view of an account's limit.
fn log_view(event: &str, view: &QuotaView, table: &RoutingTable, age: Option<Duration>) {
    let account = table.accounts.iter().find(|it| it.id() == view.account);
    log::info!(
        "event={event} account={:?} rate={} burst={} permits={} scarce={} version={} age_ms={}",
        account.map_or("", |it| &it.name),
        view.limit.rate,
        view.limit.burst,
        view.permits,
        view.scarce,
        view.revision,
        age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)),
    );
}
