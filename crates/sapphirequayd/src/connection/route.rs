//! What a caller's method and path ask for.

use quay_types::{Error, ErrorKind, Result};

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// `GET /healthz`.
    Health,
    /// `GET /metrics`.
    Metrics,
    /// `POST /v1/chat/completions`.
    Completion,
}

/// Every path with its method.
const ROUTES: &[(&str, &str, Route)] = &[
    ("GET", "/healthz", Route::Health),
    ("GET", "/metrics", Route::Metrics),
    ("POST", "/v1/chat/completions", Route::Completion),
];

impl Route {
    /// The route of a request; `target` may carry a query.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`], or [`ErrorKind::MethodNotAllowed`] for a known
    /// path.
    pub fn of(method: &str, target: &str) -> Result<Self> {
        let path = target.split('?').next().unwrap_or_default();
        let known = ROUTES.iter().find(|(_, known, _)| *known == path);
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
        }
    }
}
