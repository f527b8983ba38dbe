//! The queue before one upstream.

mod admission;
mod limit;
mod settings;
mod ticket;

pub use {
    admission::Admission,
    limit::{FixedLimit, LearnedLimit, Limit, Observation},
    settings::AdmitSettings,
    ticket::{Ticket, TicketId, Verdict},
};
