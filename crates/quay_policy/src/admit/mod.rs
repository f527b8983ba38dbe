//! Admission of calls to one upstream.

mod admission;
mod limit;
mod new_programs;
mod program_admission;
mod settings;
mod ticket;

pub use {
    admission::Admission,
    limit::{AdaptiveLimit, ConcurrencyLimit, FixedLimit, Observation},
    new_programs::{NewProgram, NewProgramGate, NewProgramSettings},
    program_admission::{
        Measured, ProgramAdmission, ProgramAdmissionSettings, ProgramRefusal, RecentDelays,
        RefusalCause, SlotUse,
    },
    settings::AdmissionSettings,
    ticket::{Ticket, TicketId, Verdict},
};
