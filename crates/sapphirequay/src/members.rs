//! `sapphirequay members`: lists the directory of upstreams.

use {
    crate::operator::{Operator, operator_args, unexpected_reply},
    quay_types::UpstreamState,
    sapphirequayd::{ControlReply, ControlRequest, MemberRow},
    serde_json::json,
    std::error::Error,
};

operator_args!(
    /// Arguments of `members`.
    MembersArgs {}
);

/// Printed name of a state.
const fn state_name(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Serving => "serving",
        UpstreamState::Draining => "draining",
        UpstreamState::Failing => "failing",
    }
}

/// Reads the directory of upstreams from a ledger host.
pub fn rows(operator: &mut Operator) -> Result<Box<[MemberRow]>, Box<dyn Error>> {
    match operator.request(&ControlRequest::Members)? {
        ControlReply::Members(rows) => Ok(rows),
        other => Err(unexpected_reply(&other)),
    }
}

/// Prints the directory of upstreams.
pub fn run(args: &MembersArgs) -> Result<(), Box<dyn Error>> {
    for row in &rows(&mut args.connect()?)? {
        if args.json {
            println!("{}", to_json(row));
        } else {
            print(row);
        }
    }
    Ok(())
}

/// Converts one upstream to JSON.
fn to_json(row: &MemberRow) -> serde_json::Value {
    json!({
        "name": row.name, "incarnation": row.incarnation.0, "addr": row.addr.to_string(),
        "data_centre": row.data_centre, "state": state_name(row.state),
        "suspicion": row.suspicion, "queued": row.load.queued, "running": row.load.running,
        "backlog": row.load.backlog, "kv_permille": row.load.kv_permille, "age_ms": row.age_ms,
    })
}

/// Prints one upstream as a line of text.
fn print(row: &MemberRow) {
    let why = row.suspicion.as_deref().unwrap_or("-");
    println!(
        "{} state={} suspicion={why:?} data_centre={} addr={} queued={} running={} kv_permille={} age_ms={}",
        row.name,
        state_name(row.state),
        row.data_centre,
        row.addr,
        row.load.queued,
        row.load.running,
        row.load.kv_permille,
        row.age_ms
    );
}
