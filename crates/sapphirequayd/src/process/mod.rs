//! What lives as long as the process: actors, roles and their threads.

mod actor;
mod announcer;
mod clock;
mod daemon;
mod directory;
mod gate;
mod group;
mod router;

pub use {
    actor::{Machine, Mailbox, spawn},
    clock::Clock,
    daemon::{Daemon, StartError},
    gate::{Gate, GateMsg},
    group::{Group, GroupError, GroupMsg},
    router::{Pick, Router, RouterMsg},
};
