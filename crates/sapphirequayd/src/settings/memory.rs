//! Memory of a process, as its settings state it.

use {
    crate::{gateway::HostLimits, settings::Problem},
    quay_policy::MemorySettings,
    rustix::process::{Resource, getrlimit},
    std::{fs, path::Path},
};

/// Memory in bytes of a process that serves nothing, about.
const REST_BYTES: u64 = 20_000_000;

/// Least memory of a process other than 0, in MB: its budget holds a body of the default
/// limit beside other requests.
const MIN_MEMORY_MB: f64 = 40.0;

/// Bytes that requests, responses, conversations and connections may take in a process
/// that is killed above `limit` bytes.
///
/// It is half of what the process leaves free. The other half is for what isn't
/// counted: the system's buffers, the buffers of connections to upstreams, and what the
/// allocator does not return.
const fn budget_bytes(limit: u64) -> u64 {
    limit.saturating_sub(REST_BYTES) / 2
}

/// Limit of a process in bytes, if `memory_mb` is not 0; by default the memory of the
/// machine.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn limit_bytes(memory_mb: Option<f64>) -> Option<u64> {
    match memory_mb {
        Some(stated) => Some((stated * 1e6) as u64).filter(|bytes| *bytes > 0),
        None => machine_bytes(),
    }
}

/// What a process may take that is killed above `memory_mb` and may open `max_fds`
/// descriptors, if that is not 0. The other half of these is for upstreams, other hosts
/// and files.
pub fn limits(memory_mb: Option<f64>, max_fds: u64) -> HostLimits {
    let descriptors = match max_fds {
        0 => getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX),
        stated => stated,
    };
    HostLimits {
        budget: limit_bytes(memory_mb).map(budget_bytes),
        stated: memory_mb.is_some_and(|stated| stated > 0.0),
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
    memory_mb: Option<f64>,
    needed: u64,
    cause: &str,
) -> Result<(), Problem> {
    let Some(limit) = memory_mb.and_then(|_| limit_bytes(memory_mb)) else {
        return Ok(());
    };
    if needed <= MemorySettings::of(budget_bytes(limit)).admitted() {
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
pub fn check(section: &'static str, memory_mb: Option<f64>) -> Result<(), Problem> {
    if memory_mb.is_none_or(|stated| stated == 0.0 || stated >= MIN_MEMORY_MB) {
        return Ok(());
    }
    let message = format!("must be 0 or at least {MIN_MEMORY_MB}");
    Err(Problem::new(section, "memory_mb", message))
}

// ----------------------------------------------------------------------------
// Memory of the machine

/// Memory of the machine, or the limit of the process's control group if that is less.
/// `None` if the system does not tell.
fn machine_bytes() -> Option<u64> {
    let groups = fs::read_to_string("/proc/self/cgroup").unwrap_or_default();
    let limits = groups.lines().filter_map(group_bytes);
    limits.chain(installed_bytes()).min()
}

fn installed_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib << 10)
}

/// Least limit of a control group and its parents. `line` is one of `/proc/self/cgroup`:
/// `0::PATH` in version 2, `NUMBER:CONTROLLERS:PATH` in version 1.
fn group_bytes(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once(':')?;
    let (controllers, path) = rest.split_once(':')?;
    let (root, file) = if controllers.is_empty() {
        ("/sys/fs/cgroup", "memory.max")
    } else if controllers.split(',').any(|it| it == "memory") {
        ("/sys/fs/cgroup/memory", "memory.limit_in_bytes")
    } else {
        return None;
    };
    let group = Path::new(root).join(path.trim_start_matches('/'));
    let groups = group.ancestors().take_while(|it| it.starts_with(root));
    let limits = groups.filter_map(|it| fs::read_to_string(it.join(file)).ok());
    limits.filter_map(|text| text.trim().parse().ok()).min()
}
