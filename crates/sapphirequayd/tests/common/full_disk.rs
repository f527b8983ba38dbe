//! Processes whose disks can be filled: the system refuses to let their files grow.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use {
    rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit},
    std::{ffi::OsString, process::Command},
};

/// Command that runs a daemon which gets an error, not a signal, when a file may not
/// grow, and whose disk may be full at the start.
pub fn command(daemon: OsString, full: bool) -> Command {
    let limit = if full { "ulimit -S -f 0 && " } else { "" };
    let mut shell = Command::new("sh");
    shell.arg("-c");
    shell.arg(format!("trap '' XFSZ && {limit}exec \"$0\" \"$@\""));
    shell.arg(daemon);
    shell
}

/// Limits the files of a process to a size in bytes; `None` ends the limit.
pub fn limit_files(process: u32, bytes: Option<u64>) {
    let maximum = getrlimit(Resource::Fsize).maximum;
    let current = bytes.or(maximum);
    let pid = i32::try_from(process).ok().and_then(Pid::from_raw);
    prlimit(pid, Resource::Fsize, Rlimit { current, maximum }).expect("limit");
}
