//! Memory of a process, as its settings state it.

use {
    crate::{gateway::HostLimits, settings::Problem},
    quay_policy::MemorySettings,
    rustix::process::{Resource, getrlimit},
};

/// Memory in bytes of a process that serves nothing, about.
const REST_BYTES: u64 = 20_000_000;

/// Least memory of a process other than 0, in MB: its budget holds a body of the default
/// limit beside other requests.
const MIN_MEMORY_MB: f64 = 40.0;

/// Bytes that requests, responses, conversations and connections may take in a process
/// that is killed above `memory_mb`.
///
/// It is half of what the process leaves free. The other half is for what isn't
/// counted: the system's buffers, the buffers of connections to upstreams, and what the
/// allocator does not return.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn budget_bytes(memory_mb: f64) -> Option<u64> {
    let limit = (memory_mb * 1e6) as u64;
    (limit > 0).then(|| limit.saturating_sub(REST_BYTES) / 2)
}

/// What a process may take that is killed above `memory_mb` and may open `max_fds`
/// descriptors, if that is not 0. The other half of these is for upstreams, other hosts
/// and files.
pub fn limits(memory_mb: f64, max_fds: u64) -> HostLimits {
    let descriptors = match max_fds {
        0 => getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX),
        stated => stated,
    };
    HostLimits {
        budget: budget_bytes(memory_mb),
        connections: usize::try_from(descriptors / 2).unwrap_or(usize::MAX),
    }
}

/// Checks that requests of `needed` bytes in all, which the key `cause` allows, fit into
/// the memory of a process.
///
/// # Errors
///
/// Returns the problem and its key.
pub fn check_holds(
    section: &'static str,
    memory_mb: f64,
    needed: u64,
    cause: &str,
) -> Result<(), Problem> {
    let budget = budget_bytes(memory_mb).map(MemorySettings::of);
    if budget.is_none_or(|budget| needed <= budget.admitted()) {
        return Ok(());
    }
    let message = format!("is too little for one request with {cause}, which takes {needed} bytes");
    Err(Problem::new(section, "memory_mb", message))
}

/// Checks the memory of a process that the table `section` states.
///
/// # Errors
///
/// Returns the problem and its key.
pub fn check(section: &'static str, memory_mb: f64) -> Result<(), Problem> {
    if memory_mb == 0.0 || memory_mb >= MIN_MEMORY_MB {
        return Ok(());
    }
    let message = format!("must be 0 or at least {MIN_MEMORY_MB}");
    Err(Problem::new(section, "memory_mb", message))
}
