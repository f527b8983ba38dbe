//! Asks a sidecar what became of a permit.

use {
    crate::{
        request::{AttemptEnd, remote_attempt::end_of},
        wire::LinkRequest,
    },
    quay_link::{LinkRole, Links},
    quay_types::{CallEvent, Permit, PermitStatus, SidecarRequest},
    std::net::SocketAddr,
};

/// Asks the sidecar at `addr`; a permit that it never saw is refused from now
/// on. The end of the attempt comes with the answer if the sidecar kept it.
///
/// `None` if the sidecar does not answer.
pub fn query_permit(
    links: &Links,
    addr: SocketAddr,
    permit: Permit,
) -> Option<(PermitStatus, Option<AttemptEnd>)> {
    let req = SidecarRequest::QueryPermit(permit.id, permit.incarnation);
    let opened = links.open(addr, LinkRole::Sidecar, &LinkRequest::Sidecar(req));
    let mut stream = opened.ok()?;
    let CallEvent::PermitStatus(fate) = stream.recv().ok()? else {
        return None;
    };
    if fate != PermitStatus::Ended {
        return Some((fate, None));
    }
    let kept = stream.recv::<CallEvent>().ok();
    Some((fate, kept.map(|event| end_of(event, ""))))
}
