//! Routing of requests by method and path.

use {
    crate::connection::programs::PROGRAMS,
    quay_types::{Error, ErrorKind, Result},
};

/// Endpoint that a request is routed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// `GET /healthz`.
    Health,
    /// `GET /metrics`.
    Metrics,
    /// `POST /v1/chat/completions`.
    Completion,
    /// `POST /v1/services/NAME`.
    Service,
    /// `/v1/programs` and the paths below it.
    Programs,
}

/// Prefix of the paths of services other than model engines.
const SERVICES: &str = "/v1/services/";

/// Method, path and route of each endpoint except [`PROGRAMS`], which has
/// several methods.
const ROUTES: &[(&str, &str, Route)] = &[
    ("GET", "/healthz", Route::Health),
    ("GET", "/metrics", Route::Metrics),
    ("POST", "/v1/chat/completions", Route::Completion),
    ("POST", SERVICES, Route::Service),
];

impl Route {
    /// Returns the route of a request; `target` may contain a query.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] for an unknown path,
    /// [`ErrorKind::MethodNotAllowed`] for a known path with another method.
    pub fn of(method: &str, target: &str) -> Result<Self> {
        let path = Self::path(target);
        if path.starts_with(PROGRAMS) {
            return Ok(Self::Programs);
        }
        let known = ROUTES.iter().find(|(_, known, _)| {
            *known == path || (*known == SERVICES && path.starts_with(SERVICES))
        });
        let Some((allowed, _, route)) = known else {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("unknown path: {path}"),
            ));
        };
        if *allowed != method {
            return Err(Error::new(
                ErrorKind::MethodNotAllowed,
                format!("{method} is not allowed on {path}; use {allowed}"),
            ));
        }
        Ok(*route)
    }

    /// Name of the route in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Health => "healthz",
            Self::Metrics => "metrics",
            Self::Completion => "completion",
            Self::Service => "service",
            Self::Programs => "programs",
        }
    }

    /// Returns the path of a request target, without the query.
    #[must_use]
    pub fn path(target: &str) -> &str {
        target.split('?').next().unwrap_or_default()
    }

    /// Returns the name of the service in a request target.
    #[must_use]
    pub fn service_name(target: &str) -> &str {
        Self::path(target)
            .strip_prefix(SERVICES)
            .unwrap_or_default()
    }
}
