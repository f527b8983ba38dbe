//! Configuration document with owned sections, versions and an audit trail.
