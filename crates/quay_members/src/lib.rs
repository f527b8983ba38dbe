//! Directory of upstreams kept by announcements under leases.
