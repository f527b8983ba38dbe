//! An entry of the own interface under crowds of callers that send requests without an
//! end. What is checked does not depend on the speed of the machine; see `crowds.rs`.

mod common;
#[path = "common/crowd.rs"]
mod crowd;

use {
    common::{CountingService, Processes, Role, TestRequest},
    crowd::{Crowd, Unfinished, take_turn, wait_for, watch},
    std::{net::SocketAddr, time::Duration},
};

const MB: u64 = 1_000_000;

const HEAD: &str =
    "POST /v1/services/orders HTTP/1.1\nHost: e\nAuthorization: Bearer key-a\nIdempotency-Key: k";

/// An ordinary call is answered, if need be after refusals.
fn assert_served(entry: SocketAddr, body: &str) {
    let call = TestRequest {
        path: "/v1/services/orders",
        body,
        ..TestRequest::default()
    };
    wait_for("an ordinary call is not answered", || {
        call.try_send(entry).is_some_and(|got| got.0 == 200)
    });
}

/// Plays a crowd against an entry, which may hold `memory_mb`.
fn crowd_at_an_entry(settings: &str, memory_mb: u64, size: usize, what: Unfinished) {
    let _turn = take_turn();
    let service = CountingService::start(Duration::ZERO);
    let mut processes = Processes::start_with(service.addr(), settings);
    let entry = processes.entries[0];
    assert_served(entry, "before");
    let crowd = Crowd::start(entry, size, what);
    let id = processes.process_id(Role::Entry(0));
    let alive = || processes.is_running(Role::Entry(0));
    watch((id, entry.port()), &crowd, memory_mb * MB, alive);
    assert_served(entry, "afterwards");
}

#[test]
fn header_lines_without_an_end_leave_an_entry_within_its_memory() {
    let begins = "POST /v1/services/orders HTTP/1.1\nHost: e\nX-Long: ";
    let what = Unfinished::endless(begins, 100_000_000);
    crowd_at_an_entry("", 128, 4, what);
}

#[test]
fn chunk_sizes_without_an_end_leave_an_entry_within_its_memory() {
    let begins = format!("{HEAD}\nTransfer-Encoding: chunked\n\n");
    let what = Unfinished::endless(&begins, 100_000_000);
    crowd_at_an_entry("", 128, 4, what);
}

#[test]
fn bodies_in_tiny_chunks_leave_an_entry_within_its_memory() {
    crowd_at_an_entry("", 256, 8, Unfinished::chunked(HEAD, 1, 4_000_000));
}

#[test]
fn bodies_that_stop_short_leave_an_entry_within_its_memory() {
    let what = Unfinished::chunked(HEAD, 50_000, 318);
    crowd_at_an_entry("memory_mb = 200\nread_timeout_ms = 600000", 200, 40, what);
}

#[test]
fn connections_without_a_request_leave_an_entry_for_others() {
    let settings = "memory_mb = 60\nmax_body_bytes = 1000000\nread_timeout_ms = 600000";
    crowd_at_an_entry(settings, 60, 1_000, Unfinished::default());
}
