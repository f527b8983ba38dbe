//! Queries a sidecar for the status of a permit.

use {
    crate::{
        request::{AttemptEnd, remote_attempt::end_of},
        wire::LinkRequest,
    },
    quay_link::{LinkRole, Links},
    quay_types::{CallEvent, Permit, PermitStatus, SidecarRequest},
    std::net::SocketAddr,
};

/// Queries the sidecar at `addr`. A permit that the sidecar has not seen is
/// marked as refused by the query. The end of the attempt is returned too, if
/// the sidecar retained it.
///
/// Returns `None` if the sidecar does not answer.
pub fn query_permit(
    links: &Links,
    addr: SocketAddr,
    permit: Permit,
) -> Option<(PermitStatus, Option<AttemptEnd>)> {
    let req = SidecarRequest::QueryPermit(permit.id, permit.incarnation);
    let opened = links.open(addr, LinkRole::Sidecar, &LinkRequest::Sidecar(req));
    let mut stream = opened.ok()?;
    let CallEvent::PermitStatus(status) = stream.recv().ok()? else {
        return None;
    };
    if status != PermitStatus::Ended {
        return Some((status, None));
    }
    let last_event = stream.recv::<CallEvent>().ok();
    Some((status, last_event.map(|event| end_of(event, ""))))
}
