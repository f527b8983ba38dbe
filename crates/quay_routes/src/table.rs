//! Routing tables.

use {
    crate::AccountTable,
    serde::{Deserialize, Serialize},
    std::{collections::HashSet, fmt, time::Duration},
};

/// Whether and how requests of a route may be retried.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    #[default]
    Once,
    /// The response is a stream of events, and the request runs at most once.
    Stream,
    /// The response is a stream of events that another upstream can resume.
    ResumableStream,
}

impl RepeatPolicy {
    /// Whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that receives requests of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Box<str>,
    /// Share of the route's requests, relative to the weights of the other
    /// targets.
    pub weight: u32,
}

impl Target {
    /// Creates a target.
    #[must_use]
    pub fn new(service: impl Into<Box<str>>, weight: u32) -> Self {
        Self {
            service: service.into(),
            weight,
        }
    }
}

/// Routing rule for requests of one host and path prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, for logs and errors.
    pub name: Box<str>,
    /// Host that requests must name.
    pub host: Box<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether and how requests may be retried.
    pub repeat: RepeatPolicy,
    /// Time after which a request is abandoned.
    pub timeout: Duration,
    /// Service level objective: time within which a response is on time.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services with their weights; at least one weight is not 0.
    pub targets: Box<[Target]>,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Time for which turns are kept, if the gateway keeps them.
    pub retention: Option<Duration>,
    /// Whether an upstream is faster with an object or a prompt that it had
    /// lately.
    pub sticky: bool,
    /// Whether requests need no key although there are accounts.
    pub public: bool,
}

impl Route {
    /// Whether requests are turns whose streams are stored.
    #[must_use]
    pub const fn stores_turns(&self) -> bool {
        self.repeat.is_stream() && self.retention.is_some()
    }

    /// Services that get requests of the route.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let targets = self.targets.iter().filter(|it| it.weight > 0);
        targets.map(|it| &*it.service)
    }

    /// Whether another route has the same services, whatever their weights.
    fn has_services_of(&self, other: &Self) -> bool {
        let services = |route: &Self| {
            let services = route.services().map(str::to_owned);
            services.collect::<HashSet<String>>()
        };
        services(self) == services(other)
    }

    /// Selects the service for a request by the random number `draw`.
    ///
    /// The same number selects the same service as long as the weights do not
    /// change.
    #[must_use]
    pub fn target(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// A service and the limits of its upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Maximum number of connections that an upstream accepts from all callers
    /// together; 0 if unknown.
    pub max_connections: u32,
    /// Number of requests that an upstream runs concurrently; 0 if unknown.
    pub slots: u32,
    /// Number of tokens that one event of a stream represents; 0 for a service
    /// that does not stream tokens.
    pub event_tokens: u32,
    /// Size of an upstream's memory for prompts, in tokens; 0 if unknown.
    pub memory_tokens: u64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: u32,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u32,
    /// Time within which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for EdgeLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Host and path prefix of a route, of which a table has only one.
pub type RouteKey = (Box<str>, Box<str>);

/// Routing tables.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Revision number assigned by the operator; the table with the highest one
    /// is in force.
    pub revision: u64,
    /// Routes of all hosts.
    pub routes: Vec<Route>,
    /// Services that routes may refer to.
    pub services: Vec<Service>,
    /// Limits on callers' requests and connections.
    pub limits: EdgeLimits,
    /// Client accounts; empty if requests need no key.
    pub accounts: AccountTable,
}

/// Reason for which a routing table is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableError {
    /// The document can't be parsed, with the reason.
    Unreadable(Box<str>),
    /// A route refers to a service that the table does not define.
    UnknownService {
        /// Name of the route.
        route: Box<str>,
        /// Name of the service.
        service: Box<str>,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// Host of the two routes.
        host: Box<str>,
        /// Path prefix of the two routes.
        prefix: Box<str>,
    },
    /// All weights of the named route are 0.
    ZeroWeight(Box<str>),
    /// The timeout of the named route is 0.
    ZeroTimeout(Box<str>),
    /// An account's name is empty, or two accounts have this name.
    AccountName(Box<str>),
    /// Two accounts share a key, which errors do not show.
    SharedKey {
        /// Names of the two accounts.
        accounts: [Box<str>; 2],
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "the table can't be read: {why}"),
            Self::UnknownService { route, service } => {
                write!(
                    f,
                    "route {route:?} names service {service:?}, which does not exist"
                )
            }
            Self::DuplicateRoute { host, prefix } => {
                write!(f, "two routes have host {host:?} and prefix {prefix:?}")
            }
            Self::ZeroWeight(route) => write!(f, "the weights of route {route:?} add up to 0"),
            Self::AccountName(name) if name.is_empty() => f.write_str("an account has no name"),
            Self::AccountName(name) => write!(f, "two accounts have the name {name:?}"),
            Self::SharedKey { accounts: [a, b] } => {
                write!(f, "accounts {a:?} and {b:?} share a key")
            }
            Self::ZeroTimeout(route) => write!(f, "the timeout of route {route:?} is 0"),
        }
    }
}

impl std::error::Error for TableError {}

impl RoutingTable {
    /// Validates the table.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), TableError> {
        let known: HashSet<&str> = self.services.iter().map(|it| &*it.name).collect();
        let mut host_prefixes = HashSet::new();
        for route in &self.routes {
            for target in &route.targets {
                if !known.contains(&*target.service) {
                    return Err(TableError::UnknownService {
                        route: route.name.clone(),
                        service: target.service.clone(),
                    });
                }
            }
            if !host_prefixes.insert((&route.host, &route.prefix)) {
                return Err(TableError::DuplicateRoute {
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                return Err(TableError::ZeroWeight(route.name.clone()));
            }
            if route.timeout.is_zero() {
                return Err(TableError::ZeroTimeout(route.name.clone()));
            }
        }
        self.accounts.check()
    }

    /// Finds the route of a request: the one with the longest matching path
    /// prefix among the routes of its host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix)
        });
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Routes some of whose requests had other services in the table before.
    #[must_use]
    pub fn moved_routes(&self, former: &Self) -> Vec<RouteKey> {
        let own = self.routes.iter().map(|route| (route, route));
        // Requests of a route that is gone may have come to a more general one.
        let gone = former.routes.iter().filter_map(|old| {
            let heir = self.find(&old.host, &old.prefix)?;
            (heir.prefix != old.prefix).then_some((old, heir))
        });
        let moved = own.chain(gone).filter(|(path, route)| {
            let before = former.find(&path.host, &path.prefix);
            before.is_some_and(|before| !before.has_services_of(route))
        });
        moved
            .map(|(_, route)| (route.host.clone(), route.prefix.clone()))
            .collect()
    }

    /// Whether no stream of the named service can have a higher priority than
    /// `priority`. The priority of an account replaces that of a route which is not
    /// public.
    #[must_use]
    pub fn is_most_urgent(&self, priority: u32, service: &str) -> bool {
        let streams = self.routes.iter().filter(|it| it.repeat.is_stream());
        let mut rivals = streams.filter(|it| it.targets.iter().any(|to| &*to.service == service));
        rivals.all(|rival| {
            let highest = if rival.public {
                rival.priority
            } else {
                self.accounts.highest_priority(rival.priority)
            };
            highest >= priority
        })
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}
