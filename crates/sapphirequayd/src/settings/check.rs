//! Checks settings as a whole, beyond the form of each key.

use {
    crate::settings::{Problem, Settings, SidecarSettings},
    quay_link::{KeyFiles, LinkRole},
    std::net::SocketAddr,
};

impl Settings {
    /// Everything that is wrong with well-formed settings.
    #[must_use]
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_process(&mut problems);
        self.check_ports(&mut problems);
        self.check_keys(&mut problems);
        self.check_ledger(&mut problems);
        self.check_entry(&mut problems);
        if let Some(sidecar) = &self.sidecar {
            check_sidecar(sidecar, &mut problems);
        }
        problems
    }

    /// The role whose certificate the process shows.
    #[must_use]
    pub const fn link_role(&self) -> LinkRole {
        match (&self.entry, &self.sidecar, &self.front) {
            (Some(_), _, _) | (None, None, Some(_)) => LinkRole::Entry,
            (None, Some(_), _) => LinkRole::Sidecar,
            (None, None, None) => LinkRole::Ledger,
        }
    }

    /// Name, roles and who keeps the directory.
    fn check_process(&self, problems: &mut Vec<Problem>) {
        if self.process.name.is_empty() {
            problems.push(Problem::new("process", "name", "it is empty"));
        }
        let calls = self.entry.is_some() || self.sidecar.is_some() || self.ledger.is_some();
        if self.is_gateway() {
            self.check_gateway(calls, problems);
        } else if !calls {
            let message = "no role: one of the tables [entry], [sidecar], [ledger], [front], [control] and [store] is needed";
            problems.push(Problem::new("", "", message));
        }
        let reads_ledger = self.entry.is_some() || self.sidecar.is_some();
        if reads_ledger && self.link.ledgers.is_empty() {
            let message = "entries and sidecars need at least one address";
            problems.push(Problem::new("link", "ledgers", message));
        }
    }

    /// Whether the process has a role of a gateway.
    #[must_use]
    pub const fn is_gateway(&self) -> bool {
        self.front.is_some() || self.control.is_some() || self.store.is_some()
    }

    /// A gateway's process has one role and knows where to find the others.
    fn check_gateway(&self, calls: bool, problems: &mut Vec<Problem>) {
        let roles = [
            self.front.is_some(),
            self.control.is_some(),
            self.store.is_some(),
            calls,
        ];
        if roles.iter().filter(|has| **has).count() > 1 {
            let message = "[front], [control] and [store] each need a process of their own";
            problems.push(Problem::new("", "", message));
        }
        match &self.gateway {
            Some(seeds) => problems.extend(seeds.check().err()),
            None => problems.push(Problem::new("gateway", "seeds", "the table is needed")),
        }
    }

    /// Every address that this process listens on, with its table and key.
    fn listens(&self) -> Vec<(&'static str, &'static str, SocketAddr)> {
        let mut listens = vec![("link", "listen", self.link.listen)];
        if let Some(entry) = &self.entry {
            listens.push(("entry", "listen", entry.listen));
        }
        if let Some(front) = &self.front {
            listens.push(("front", "listen", front.listen));
            listens.push(("front", "ready", front.ready));
        }
        if let Some(control) = &self.control {
            listens.push(("control", "listen", control.listen));
        }
        if let Some(monitor) = self.process.monitor {
            listens.push(("process", "monitor", monitor));
        }
        listens
    }

    /// No two listeners share a port, and none is the upstream's.
    fn check_ports(&self, problems: &mut Vec<Problem>) {
        let listens = self.listens();
        for (place, (section, key, addr)) in listens.iter().enumerate() {
            let earlier = listens[..place].iter();
            let mut clash = earlier.filter(|(_, _, other)| overlaps(*addr, *other));
            if let Some((other, other_key, _)) = clash.next() {
                let message = format!("{addr} is also the address of [{other}] {other_key}");
                problems.push(Problem::new(section, key, message));
            }
            let upstream = self.sidecar.as_ref().map(|sidecar| sidecar.addr);
            if upstream.is_some_and(|upstream| overlaps(*addr, upstream)) {
                let message = format!("{addr} is also the upstream's address");
                problems.push(Problem::new(section, key, message));
            }
        }
    }

    /// The key files can be read and fit each other's form.
    fn check_keys(&self, problems: &mut Vec<Problem>) {
        let files = KeyFiles::for_role(&self.link.keys, self.link_role());
        if let Err(err) = files.load() {
            problems.push(Problem::new("link", "keys", err.to_string()));
        }
    }

    /// The first configuration document can be read.
    fn check_ledger(&self, problems: &mut Vec<Problem>) {
        let Some(ledger) = &self.ledger else { return };
        problems.extend(ledger.check().err());
        if let Err(err) = ledger.initial_document() {
            problems.push(Problem::new("ledger", "document", err.to_string()));
        }
    }

    /// The limits of the callers' interface leave room for work.
    fn check_entry(&self, problems: &mut Vec<Problem>) {
        let Some(entry) = &self.entry else { return };
        let limits = [
            ("max_requests", u64::from(entry.max_requests)),
            ("max_body_bytes", entry.max_body_bytes),
            ("read_timeout_ms", entry.read_timeout_ms),
            ("send_timeout_ms", entry.send_timeout_ms),
        ];
        for (key, _) in limits.into_iter().filter(|(_, limit)| *limit == 0) {
            problems.push(Problem::new("entry", key, "it must be positive"));
        }
    }
}

/// The upstream is one thing and can be called.
fn check_sidecar(sidecar: &SidecarSettings, problems: &mut Vec<Problem>) {
    if sidecar.upstream.is_empty() {
        problems.push(Problem::new("sidecar", "upstream", "it is empty"));
    }
    if sidecar.concurrency == 0 {
        let message = "it must be positive";
        problems.push(Problem::new("sidecar", "concurrency", message));
    }
    if sidecar.addr.port() == 0 {
        problems.push(Problem::new("sidecar", "addr", "the port is 0"));
    }
    match (&sidecar.service, sidecar.models.is_empty()) {
        (Some(_), false) => {
            let message = "an upstream has models or is a service, not both";
            problems.push(Problem::new("sidecar", "service", message));
        }
        (None, true) => {
            let message = "an upstream without models needs the name of its service";
            problems.push(Problem::new("sidecar", "models", message));
        }
        _ => {}
    }
}

/// Whether two listeners would be on one port. Port 0 is the system's choice.
fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let same_host = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_host
}
