//! Placeholder replaced below.
