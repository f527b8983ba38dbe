//! Time to encode and decode bytes in one piece and as a sequence, side by side.

use {
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::time::Instant,
};

/// Bytes of one value.
const BYTES: usize = 512;

/// Values that are measured at a time.
const ROUNDS: u32 = 200_000;

/// Bytes in one piece.
#[derive(Serialize, Deserialize)]
struct Whole(#[serde(with = "quay_types::bytes")] Box<[u8]>);

/// Bytes as a sequence.
#[derive(Serialize, Deserialize)]
struct Sequence(Box<[u8]>);

/// Nanoseconds to encode and decode one value.
fn measure<T: Serialize + DeserializeOwned>(value: &T) -> Result<u128, postcard::Error> {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let buf = postcard::to_stdvec(value)?;
        let back: T = postcard::from_bytes(&buf)?;
        std::hint::black_box(back);
    }
    Ok(started.elapsed().as_nanos() / u128::from(ROUNDS))
}

fn main() -> Result<(), postcard::Error> {
    for _ in 0..3 {
        let sequence = measure(&Sequence([7; BYTES].into()))?;
        let whole = measure(&Whole([7; BYTES].into()))?;
        println!("bytes={BYTES} sequence_ns={sequence} whole_ns={whole}");
    }
    Ok(())
}
