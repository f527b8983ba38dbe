//! Admission of calls to one upstream.

mod admission;
mod limit;
mod settings;
mod ticket;

pub use {
    admission::Admission,
    limit::{AdaptiveLimit, ConcurrencyLimit, FixedLimit, Observation},
    settings::AdmissionSettings,
    ticket::{Ticket, TicketId, Verdict},
};
