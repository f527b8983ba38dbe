//! Admission of calls to one upstream.

mod admission;
mod limit;
mod new_programs;
mod settings;
mod ticket;

pub use {
    admission::Admission,
    limit::{AdaptiveLimit, ConcurrencyLimit, FixedLimit, Observation},
    new_programs::{NewProgram, NewProgramGate, NewProgramSettings},
    settings::AdmissionSettings,
    ticket::{Ticket, TicketId, Verdict},
};
