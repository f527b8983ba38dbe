//! Memory as a limit: one byte budget of a host, divided among classes of data,
//! callers and accounts.

mod budget;
mod callers;

pub use {
    budget::{
        ConnectDecision, MemoryBudget, MemoryClass, MemoryDecision, MemorySettings, Shortage,
    },
    callers::{CallerConnection, ConnectionPhase, EndReason, EndedConnection, MemoryHolder},
};
