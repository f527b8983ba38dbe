//! Tests of keys and the table of errors.

use {
    proptest::prelude::*,
    quay_types::{
        AnswerCursor, CallRequest, ErrorKind, LedgerRequest, ProgramId, SidecarRequest,
        block_hashes,
    },
    std::fmt::Write as _,
};

#[test]
fn table_of_errors() {
    let mut table =
        String::from("| kind | status | not run | retry after, s |\n|---|---|---|---|\n");
    for kind in ErrorKind::ALL {
        let retry = kind
            .retry_after_s()
            .map_or_else(|| "-".into(), |seconds| seconds.to_string());
        writeln!(
            table,
            "| `{kind}` | {} | {} | {retry} |",
            kind.status(),
            kind.not_run()
        )
        .expect("table");
    }
    insta::assert_snapshot!(table);
    let page = include_str!("../../../docs/ERRORS.md");
    assert!(
        page.contains(&table),
        "docs/ERRORS.md does not hold the table of the code"
    );
}

proptest! {
    #[test]
    fn program_ids_round_trip(root: u64, branch: u32) {
        let program = ProgramId { root, branch };
        prop_assert_eq!(program.to_string().parse(), Ok(program));
    }

    #[test]
    fn shared_hashes_mean_a_shared_prefix(shared in prop::collection::vec(any::<u8>(), 0..1200), tail: [u8; 256]) {
        let longer = [&*shared, &tail].concat();
        let (short, long) = (block_hashes(&shared), block_hashes(&longer));
        prop_assert_eq!(&long[..short.len()], &*short);
    }

    #[test]
    fn bytes_from_outside_do_not_panic(bytes: Vec<u8>) {
        let _ = postcard::from_bytes::<SidecarRequest>(&bytes);
        let _ = postcard::from_bytes::<CallRequest>(&bytes);
        let _ = postcard::from_bytes::<LedgerRequest>(&bytes);
    }

    #[test]
    fn malformed_program_ids_are_errors(text in "[p\\-0-9a-g.]{0,24}") {
        if let Ok(program) = text.parse::<ProgramId>() {
            prop_assert_eq!(program.to_string().parse(), Ok(program));
        }
    }
}

proptest! {
    #[test]
    fn a_resumed_answer_has_no_gap_and_no_repeat(
        answer in "\\PC{0,80}",
        resumes in prop::collection::vec((any::<prop::sample::Index>(), 1usize..12, 1usize..6), 1..12),
    ) {
        let starts: Vec<usize> = answer.char_indices().map(|(at, _)| at).chain([answer.len()]).collect();
        let mut cursor = AnswerCursor::default();
        let mut got = String::new();
        let resumes = resumes.iter().map(|(start, parts, size)| (start.index(starts.len()), *parts, *size));
        // Each resume starts somewhere and cuts the answer in its own way; the last one sends all.
        for (start, parts, size) in resumes.chain([(0, 99, 1)]) {
            let cuts: Vec<usize> = starts[start..].iter().copied().step_by(size).collect();
            for pair in cuts.windows(2).take(parts) {
                match cursor.accept(pair[0] as u64, &answer[pair[0]..pair[1]]) {
                    Ok(new) => got.push_str(new),
                    Err(gap) => prop_assert!(gap.offset > got.len() as u64),
                }
            }
            prop_assert!(answer.starts_with(&got));
        }
        prop_assert_eq!(&got, &answer);
        prop_assert_eq!(cursor.checksum(), crc32fast::hash(answer.as_bytes()));
    }
}

/// Bytes in one piece, beside the same bytes as a sequence.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct InOnePiece(#[serde(with = "quay_types::bytes")] Box<[u8]>);

#[test]
fn bytes_in_one_piece_are_encoded_as_a_sequence() {
    let bytes: Box<[u8]> = (0..=255).collect();
    let whole = postcard::to_stdvec(&InOnePiece(bytes.clone())).expect("encoded");
    assert_eq!(whole, postcard::to_stdvec(&bytes).expect("encoded"));
    let back: InOnePiece = postcard::from_bytes(&whole).expect("decoded");
    assert_eq!(back.0, bytes);
    assert!(postcard::from_bytes::<InOnePiece>(&whole[..100]).is_err());
}
