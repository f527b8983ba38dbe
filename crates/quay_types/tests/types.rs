//! Tests of ids, block hashes, decoding of untrusted bytes and the error table.

use {
    proptest::prelude::*,
    quay_types::{CallRequest, ErrorKind, LedgerRequest, ProgramId, SidecarRequest, block_hashes},
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
        .expect("write to string");
    }
    insta::assert_snapshot!(table);
    let page = include_str!("../../../docs/ERRORS.md");
    assert!(
        page.contains(&table),
        "docs/ERRORS.md does not contain the error table generated from the code"
    );
}

proptest! {
    #[test]
    fn program_ids_round_trip(root: u64, branch: u32) {
        let program = ProgramId { root, branch };
        prop_assert_eq!(program.to_string().parse(), Ok(program));
    }

    #[test]
    fn block_hashes_of_a_prefix_are_a_prefix(shared in prop::collection::vec(any::<u8>(), 0..1200), tail: [u8; 256]) {
        let longer = [&*shared, &tail].concat();
        let (short, long) = (block_hashes(&shared), block_hashes(&longer));
        prop_assert_eq!(&long[..short.len()], &*short);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) {
        let _ = postcard::from_bytes::<SidecarRequest>(&bytes);
        let _ = postcard::from_bytes::<CallRequest>(&bytes);
        let _ = postcard::from_bytes::<LedgerRequest>(&bytes);
    }

    #[test]
    fn parsed_program_ids_round_trip(text in "[p\\-0-9a-g.]{0,24}") {
        if let Ok(program) = text.parse::<ProgramId>() {
            prop_assert_eq!(program.to_string().parse(), Ok(program));
        }
    }
}
