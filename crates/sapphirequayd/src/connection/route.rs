//! What a caller's method and path ask for.

use {
    crate::connection::programs::PROGRAMS,
    quay_types::{Error, ErrorKind, Result},
};

/// What a request is for.
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

/// Start of the path of a plain service.
const SERVICES: &str = "/v1/services/";

/// Every path with its method.
const ROUTES: &[(&str, &str, Route)] = &[
    ("GET", "/healthz", Route::Health),
    ("GET", "/metrics", Route::Metrics),
    ("POST", "/v1/chat/completions", Route::Completion),
    ("POST", SERVICES, Route::Service),
];

impl Route {
    /// The route of a request; `target` may carry a query.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`], or [`ErrorKind::MethodNotAllowed`] for a known
    /// path.
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
                format!("no such path: {path}"),
            ));
        };
        if *allowed != method {
            return Err(Error::new(
                ErrorKind::MethodNotAllowed,
                format!("{path} takes {allowed}, not {method}"),
            ));
        }
        Ok(*route)
    }

    /// Name in logs and metrics.
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

    /// The path of a target, without its query.
    #[must_use]
    pub fn path(target: &str) -> &str {
        target.split('?').next().unwrap_or_default()
    }

    /// Name of the service that a path is for.
    #[must_use]
    pub fn service(target: &str) -> &str {
        Self::path(target)
            .strip_prefix(SERVICES)
            .unwrap_or_default()
    }
}
