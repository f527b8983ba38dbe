//! One revision of what operators allow.

use {
    serde::{Deserialize, Serialize},
    std::{collections::HashSet, fmt, time::Duration},
};

/// What may be repeated of the requests of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    #[default]
    Once,
    /// The answer is a stream of events, and the request runs at most once.
    Stream,
    /// The answer is a stream of events that may go on at another upstream.
    ResumableStream,
}

impl RepeatPolicy {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route leads to, with its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Box<str>,
    /// Share of the route's requests, against the other targets.
    pub weight: u32,
}

impl Target {
    /// A target.
    #[must_use]
    pub fn new(service: impl Into<Box<str>>, weight: u32) -> Self {
        Self {
            service: service.into(),
            weight,
        }
    }
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for people.
    pub name: Box<str>,
    /// Host that requests name.
    pub host: Box<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Services with their shares; at least one has a weight.
    pub targets: Box<[Target]>,
    /// Upstreams that one request may run on at most.
    pub max_attempts: u32,
    /// How long turns are kept, if the gateway keeps them.
    pub retention: Option<Duration>,
}

impl Route {
    /// The service for a request, by a number drawn for it.
    ///
    /// The same draw gives the same service as long as the weights stay.
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

/// A service and how its upstreams are spoken to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Connections that an upstream accepts from all callers; 0 if unknown.
    pub max_connections: u32,
    /// Requests that an upstream runs at a time; 0 if unknown.
    pub slots: u32,
    /// Tokens that one event of a stream stands for; 0 for a plain service.
    pub event_tokens: u32,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeLimits {
    /// Bytes of a request's head.
    pub head_bytes: u32,
    /// Bytes of a request's body.
    pub body_bytes: u32,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
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

/// One revision of what operators allow.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Number that the operator gave it; the highest is in force.
    pub revision: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services that routes may lead to.
    pub services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: EdgeLimits,
}

/// Why a table can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableError {
    /// It can't be read; says why.
    Unreadable(Box<str>),
    /// A route leads to a service that the table does not have.
    UnknownService {
        /// The route.
        route: Box<str>,
        /// The service.
        service: Box<str>,
    },
    /// Two routes have this host and prefix.
    DuplicateRoute {
        /// The host.
        host: Box<str>,
        /// The prefix.
        prefix: Box<str>,
    },
    /// The weights of this route add up to 0.
    ZeroWeight(Box<str>),
    /// The timeout of this route is 0.
    ZeroTimeout(Box<str>),
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
            Self::ZeroTimeout(route) => write!(f, "the timeout of route {route:?} is 0"),
        }
    }
}

impl std::error::Error for TableError {}

impl RoutingTable {
    /// Checks the table as a whole.
    ///
    /// # Errors
    ///
    /// The first fault.
    pub fn check(&self) -> Result<(), TableError> {
        let known: HashSet<&str> = self.services.iter().map(|it| &*it.name).collect();
        let mut places = HashSet::new();
        for route in &self.routes {
            for target in &route.targets {
                if !known.contains(&*target.service) {
                    return Err(TableError::UnknownService {
                        route: route.name.clone(),
                        service: target.service.clone(),
                    });
                }
            }
            if !places.insert((&route.host, &route.prefix)) {
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
        Ok(())
    }

    /// The route of a request: of its host's routes the one with the longest
    /// prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let fitting = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix)
        });
        fitting.max_by_key(|route| route.prefix.len())
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}
