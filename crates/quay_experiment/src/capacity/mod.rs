//! Measured slopes: what one more program, upstream or subscriber costs.

mod line_fit;
mod slope;

pub use {
    line_fit::LineFit,
    slope::{Sample, Slope},
};
