//! The operator: configurations and their acknowledgement.

use {
    crate::{host, http},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Limits of PROTOCOL.md's example.
pub const LIMITS: &str = "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}";

/// A configuration with one service of models, a route whose turns are kept for 60 s, and
/// more routes and tenants.
pub fn configuration(version: u64, more_routes: usize, tenants: &str) -> String {
    let route = |name: &str, prefix: &str, retain: bool| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"agents.example\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"streaming\",\"TimeoutMs\":3000,\"SloMs\":250,\"Priority\":1,\"Service\":\"models\",\"MaxAttempts\":1,\"Retain\":{retain},\"RetentionS\":60.0,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":250}}"
        )
    };
    let mut routes = vec![route("r-turns", "/turns/", true)];
    routes.extend((0..more_routes).map(|at| {
        route(
            &format!("r-more-{at:04}"),
            &format!("/more-{at:04}/"),
            false,
        )
    }));
    let tenants = if tenants.is_empty() {
        String::new()
    } else {
        format!(",\"Tenants\":[{tenants}]")
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"models\",\"HealthPath\":\"/health\",\"MaxConns\":180,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":16,\"KvCapacity\":644396,\"KvTokenBytes\":35136,\"LinkMbps\":4400000.0,\"Moves\":true,\"Backups\":true,\"StrideTokens\":31,\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{{\"Name\":\"m\"}}]}}}}],\"Limits\":{LIMITS}{tenants}}}",
        routes.join(",")
    )
}

/// Sends a configuration, to one control machine after the other, until it gets a clear
/// answer or the time is over. Returns the last status.
pub fn put(controls: &[String], body: &str, first: usize, limit: Duration) -> u16 {
    let ends = Instant::now() + limit;
    let mut status = 0;
    for at in first.. {
        let control = &controls[at % controls.len()];
        let headers = [
            ("Host", control.as_str()),
            ("Content-Type", "application/json"),
        ];
        let target = (control.as_str(), host::CONTROL_PORT);
        let answer = http::send(
            target,
            ("POST", "/sapphirequay/config/put"),
            &headers,
            body.as_bytes(),
            Duration::from_secs(2),
        );
        status = answer.status;
        if (200..500).contains(&status) && status != 408 && status != 429 || Instant::now() >= ends
        {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    status
}
