//! Routing, admission, retention, retry and quarantine decisions.
