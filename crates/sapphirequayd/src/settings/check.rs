//! Validation of settings beyond the syntax and type of each key.

use {
    crate::settings::{Problem, Settings, SidecarSettings},
    quay_link::{KeyFiles, LinkRole},
    std::net::SocketAddr,
};

impl Settings {
    /// Returns all problems of settings that were parsed successfully.
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

    /// Returns the role whose certificate the process presents on links.
    #[must_use]
    pub const fn link_role(&self) -> LinkRole {
        match (&self.entry, &self.sidecar, &self.front) {
            (Some(_), _, _) | (None, None, Some(_)) => LinkRole::Entry,
            (None, Some(_), _) => LinkRole::Sidecar,
            (None, None, None) => LinkRole::Ledger,
        }
    }

    /// Checks the name, the roles and the addresses of the ledger hosts.
    fn check_process(&self, problems: &mut Vec<Problem>) {
        if self.process.name.is_empty() {
            problems.push(Problem::new("process", "name", "must not be empty"));
        }
        let has_call_role = self.entry.is_some() || self.sidecar.is_some() || self.ledger.is_some();
        if self.is_gateway() {
            self.check_gateway(has_call_role, problems);
        } else if !has_call_role {
            let message = "no role: one of the tables [entry], [sidecar], [ledger], [front], [control] and [store] is required";
            problems.push(Problem::new("", "", message));
        }
        let needs_ledger = self.entry.is_some() || self.sidecar.is_some();
        if needs_ledger && self.link.ledgers.is_empty() {
            let message = "entries and sidecars require at least one address";
            problems.push(Problem::new("link", "ledgers", message));
        }
    }

    /// Whether the process has a role of a gateway.
    #[must_use]
    pub const fn is_gateway(&self) -> bool {
        self.front.is_some() || self.control.is_some() || self.store.is_some()
    }

    /// Checks that a process of a gateway has a single role and seeds to find
    /// the others.
    fn check_gateway(&self, has_call_role: bool, problems: &mut Vec<Problem>) {
        let roles = [
            self.front.is_some(),
            self.control.is_some(),
            self.store.is_some(),
            has_call_role,
        ];
        if roles.iter().filter(|has| **has).count() > 1 {
            let message = "[front], [control] and [store] can't be combined with each other or with other roles";
            problems.push(Problem::new("", "", message));
        }
        problems.extend(self.front.as_ref().and_then(|front| front.check().err()));
        problems.extend(self.control.as_ref().and_then(|it| it.check().err()));
        problems.extend(self.store.as_ref().and_then(|it| it.check().err()));
        match &self.gateway {
            Some(seeds) => problems.extend(seeds.check().err()),
            None => problems.push(Problem::new("gateway", "seeds", "the table is required")),
        }
    }

    /// Returns all listen addresses of the process, each with its table and
    /// key.
    fn listeners(&self) -> Vec<(&'static str, &'static str, SocketAddr)> {
        let mut listeners = vec![("link", "listen", self.link.listen)];
        if let Some(entry) = &self.entry {
            listeners.push(("entry", "listen", entry.listen));
        }
        if let Some(front) = &self.front {
            listeners.push(("front", "listen", front.listen));
            listeners.push(("front", "ready", front.ready));
        }
        if let Some(control) = &self.control {
            listeners.push(("control", "listen", control.listen));
        }
        if let Some(monitor) = self.process.monitor {
            listeners.push(("process", "monitor", monitor));
        }
        listeners
    }

    /// Checks that no two listeners share an address, also not with the
    /// upstream.
    fn check_ports(&self, problems: &mut Vec<Problem>) {
        let listeners = self.listeners();
        for (position, (section, key, addr)) in listeners.iter().enumerate() {
            let earlier = listeners[..position].iter();
            let mut conflicts = earlier.filter(|(_, _, other)| conflict(*addr, *other));
            if let Some((other, other_key, _)) = conflicts.next() {
                let message = format!("{addr} conflicts with the address of [{other}] {other_key}");
                problems.push(Problem::new(section, key, message));
            }
            let upstream = self.sidecar.as_ref().map(|sidecar| sidecar.addr);
            if upstream.is_some_and(|upstream| conflict(*addr, upstream)) {
                let message = format!("{addr} conflicts with the upstream's address");
                problems.push(Problem::new(section, key, message));
            }
        }
    }

    /// Checks that the key files can be loaded.
    fn check_keys(&self, problems: &mut Vec<Problem>) {
        let files = KeyFiles::for_role(&self.link.keys, self.link_role());
        if let Err(err) = files.load() {
            problems.push(Problem::new("link", "keys", err.to_string()));
        }
    }

    /// Checks the ledger role and that the initial document can be read.
    fn check_ledger(&self, problems: &mut Vec<Problem>) {
        let Some(ledger) = &self.ledger else { return };
        problems.extend(ledger.check().err());
        if let Err(err) = ledger.initial_document() {
            problems.push(Problem::new("ledger", "document", err.to_string()));
        }
    }

    /// Checks that no limit of the entry role is 0.
    fn check_entry(&self, problems: &mut Vec<Problem>) {
        let Some(entry) = &self.entry else { return };
        problems.extend(entry.check_memory().err());
        let limits = [
            ("max_requests", u64::from(entry.max_requests)),
            ("max_body_bytes", entry.max_body_bytes),
            ("read_timeout_ms", entry.read_timeout_ms),
            ("send_timeout_ms", entry.send_timeout_ms),
        ];
        for (key, _) in limits.into_iter().filter(|(_, limit)| *limit == 0) {
            problems.push(Problem::new("entry", key, "must be positive"));
        }
    }
}

/// Checks that the upstream is either a model engine or a service, and has a
/// usable address.
fn check_sidecar(sidecar: &SidecarSettings, problems: &mut Vec<Problem>) {
    if sidecar.upstream.is_empty() {
        problems.push(Problem::new("sidecar", "upstream", "must not be empty"));
    }
    problems.extend(sidecar.check_memory().err());
    let limits = [
        ("concurrency", u64::from(sidecar.concurrency)),
        ("max_event_bytes", sidecar.max_event_bytes),
        ("max_response_bytes", sidecar.max_response_bytes),
    ];
    for (key, _) in limits.into_iter().filter(|(_, limit)| *limit == 0) {
        problems.push(Problem::new("sidecar", key, "must be positive"));
    }
    if sidecar.addr.port() == 0 {
        problems.push(Problem::new("sidecar", "addr", "the port must not be 0"));
    }
    match (&sidecar.service, sidecar.models.is_empty()) {
        (Some(_), false) => {
            let message = "an upstream can't have both models and a service";
            problems.push(Problem::new("sidecar", "service", message));
        }
        (None, true) => {
            let message = "an upstream without models requires the name of its service";
            problems.push(Problem::new("sidecar", "models", message));
        }
        _ => {}
    }
}

/// Whether two listen addresses conflict. Port 0 never does, since the
/// operating system assigns a free port.
fn conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_host = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_host
}
