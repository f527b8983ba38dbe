//! Operations on stores, encoded once for all members that are asked and all tries.

use {
    crate::{
        gateway::messages::{GatewayRequest, StoreOp, StoreRequest},
        wire::LinkRequest,
    },
    bytes::Bytes,
    quay_link::{Encoded, LinkError},
    quay_turns::{Record, TurnRecord},
    quay_types::GroupId,
    std::net::SocketAddr,
};

/// The member of a group that a request is for.
#[derive(Debug, Clone, Copy)]
pub struct StoreTarget {
    /// Identity of the store.
    pub identity: u64,
    /// Group that the request concerns.
    pub group: GroupId,
    /// Epoch of the sender's view of the group.
    pub epoch: u64,
    /// Epoch in which the store joined the group, according to the sender's view.
    pub joined: u64,
}

impl StoreTarget {
    /// Request with an operation.
    #[must_use]
    pub const fn request(self, op: StoreOp) -> StoreRequest {
        StoreRequest {
            to: self.identity,
            group: self.group,
            epoch: self.epoch,
            joined: self.joined,
            op,
        }
    }
}

/// Encoded [`StoreOp`]. Clones, and the requests made of it, share its bytes; those of
/// turns are not copied, so that a turn takes its memory once until it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedOp(Encoded);

impl EncodedOp {
    /// Encodes an operation.
    ///
    /// # Errors
    ///
    /// [`LinkError::Decode`] if it can't be encoded.
    pub fn of(op: &StoreOp) -> Result<Self, LinkError> {
        let StoreOp::Write(records) = op else {
            return Encoded::of(op).map(Self);
        };
        let mut encoded = begin_write(records.len())?;
        for record in records {
            push_record(&mut encoded, record)?;
        }
        Ok(Self(encoded))
    }

    /// Encodes the write of a turn, whose input is in the pieces `input` and not in
    /// `turn`, and of other records.
    ///
    /// # Errors
    ///
    /// As [`EncodedOp::of`].
    pub fn write_turn(
        turn: &TurnRecord,
        input: &[Bytes],
        others: &[Record],
    ) -> Result<Self, LinkError> {
        let mut encoded = begin_write(1 + others.len())?;
        push_turn(&mut encoded, turn, input)?;
        for record in others {
            push_record(&mut encoded, record)?;
        }
        Ok(Self(encoded))
    }

    /// Request to a store, or to a front that relays it to the store at `relayed_to`.
    ///
    /// # Errors
    ///
    /// As [`EncodedOp::of`].
    pub fn request(
        &self,
        target: StoreTarget,
        relayed_to: Option<SocketAddr>,
    ) -> Result<Encoded, LinkError> {
        const PLACEHOLDER: StoreOp = StoreOp::FenceEpoch;
        let req = target.request(PLACEHOLDER);
        let req = LinkRequest::Gateway(match relayed_to {
            Some(addr) => GatewayRequest::Relay(addr, req),
            None => GatewayRequest::Store(req),
        });
        // The operation is the last field of a request.
        let mut encoded = Encoded::of(&req)?;
        encoded.truncate(encoded.len() - Encoded::of(&PLACEHOLDER)?.len());
        encoded.append(&self.0);
        Ok(encoded)
    }
}

/// Start of the write of some records.
fn begin_write(records: usize) -> Result<Encoded, LinkError> {
    let mut encoded = Encoded::of(&StoreOp::Write(Vec::new()))?;
    encoded.truncate(encoded.len() - Encoded::of(&0_usize)?.len());
    encoded.append(&Encoded::of(&records)?);
    Ok(encoded)
}

fn push_record(encoded: &mut Encoded, record: &Record) -> Result<(), LinkError> {
    match record {
        Record::Turn(turn) => push_turn(encoded, turn, std::slice::from_ref(&turn.input)),
        record => {
            encoded.append(&Encoded::of(record)?);
            Ok(())
        }
    }
}

fn push_turn(encoded: &mut Encoded, turn: &TurnRecord, input: &[Bytes]) -> Result<(), LinkError> {
    let without_bytes = Record::Turn(TurnRecord {
        input: Bytes::new(),
        output: Bytes::new(),
        ..*turn
    });
    // The input and the output are the last fields; each is encoded as its length and its
    // bytes.
    let mut head = Encoded::of(&without_bytes)?;
    head.truncate(head.len() - 2 * Encoded::of(&0_usize)?.len());
    encoded.append(&head);
    push_bytes(encoded, input)?;
    push_bytes(encoded, std::slice::from_ref(&turn.output))
}

fn push_bytes(encoded: &mut Encoded, pieces: &[Bytes]) -> Result<(), LinkError> {
    let len: usize = pieces.iter().map(Bytes::len).sum();
    encoded.append(&Encoded::of(&len)?);
    pieces
        .iter()
        .filter(|it| !it.is_empty())
        .for_each(|piece| encoded.push(piece.clone()));
    Ok(())
}
