//! Measures the time to encode and decode a byte string with one copy and as a
//! sequence of `u8`.

use {
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::time::Instant,
};

/// Size of one value, in bytes.
const BYTES: usize = 512;

/// Values encoded and decoded per measurement.
const ROUNDS: u32 = 200_000;

/// Byte string that is encoded with one copy.
#[derive(Serialize, Deserialize)]
struct Whole(#[serde(with = "quay_types::bytes")] Box<[u8]>);

/// Byte string that is encoded as a sequence of `u8`.
#[derive(Serialize, Deserialize)]
struct Sequence(Box<[u8]>);

/// Mean time to encode and decode one value, in nanoseconds.
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
