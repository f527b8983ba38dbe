//! Times of single decisions.

fn main() {}
