//! Decoding of frames from peers: malformed bytes must give an error, not a
//! panic that would end the process.

use {
    postcard::{from_bytes, to_stdvec},
    proptest::prelude::*,
    quay_types::{Incarnation, LogIndex, PermitId, SidecarRequest},
    sapphirequayd::{LinkRequest, QuorumReply},
};

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = from_bytes::<LinkRequest>(&bytes);
        let _ = from_bytes::<QuorumReply>(&bytes);
    }

    #[test]
    fn requests_round_trip_and_truncated_ones_are_errors(index: u64, run: u64, cut in 1_usize..4) {
        let id = PermitId { index: LogIndex(index), ..PermitId::default() };
        let req = LinkRequest::Sidecar(SidecarRequest::QueryPermit(id, Incarnation(run)));
        let bytes = to_stdvec(&req).expect("bytes");
        prop_assert_eq!(from_bytes::<LinkRequest>(&bytes).ok(), Some(req));
        prop_assert!(from_bytes::<LinkRequest>(&bytes[..bytes.len() - cut]).is_err());
    }
}
