//! `sapphirequay config status`: prints the active revisions and which daemons
//! lag behind.

use {
    crate::operator::{format_utc, operator_args, unexpected_reply},
    sapphirequayd::{ControlReply, ControlRequest, ControlStatus, DaemonRow},
    serde_json::{Value, json},
    std::error::Error,
};

/// Time without a poll, in milliseconds, after which a daemon counts as silent.
const SILENCE_TIMEOUT_MS: u64 = 5_000;

operator_args!(
    /// Arguments of `config status`.
    StatusArgs {}
);

/// State of a daemon: silent, behind the active index, or up to date.
fn daemon_state(status: &ControlStatus, row: &DaemonRow) -> String {
    let behind = status.index.0.saturating_sub(row.index.0);
    if row.age_ms > SILENCE_TIMEOUT_MS {
        format!("silent for {} s", row.age_ms / 1_000)
    } else if behind > 0 {
        format!("behind by {behind}")
    } else {
        "in force".into()
    }
}

/// Prints the status.
pub fn run(args: &StatusArgs) -> Result<(), Box<dyn Error>> {
    let status = match args.connect()?.request(&ControlRequest::Status)? {
        ControlReply::Status(status) => status,
        other => return Err(unexpected_reply(&other)),
    };
    if args.json {
        println!("{}", to_json(&status));
    } else {
        print(&status);
    }
    Ok(())
}

/// Converts the status to JSON.
fn to_json(status: &ControlStatus) -> Value {
    let sections: Vec<_> = status
        .sections
        .iter()
        .map(|section| {
            json!({
                "name": section.name, "version": section.revision.version,
                "digest": section.revision.digest.to_string(), "author": section.author,
                "time_ms": section.time_ms, "owners": section.owners,
            })
        })
        .collect();
    let daemons: Vec<_> = status
        .daemons
        .iter()
        .map(|row| {
            json!({
                "name": row.name, "index": row.index.0, "age_ms": row.age_ms,
                "state": daemon_state(status, row),
            })
        })
        .collect();
    json!({
        "index": status.index.0, "audit": status.audit, "sections": sections, "daemons": daemons,
    })
}

/// Prints the status as lines of text.
fn print(status: &ControlStatus) {
    println!(
        "index {} in force, {} audit records",
        status.index, status.audit
    );
    for section in &status.sections {
        let set = if section.author.is_empty() {
            "the first document".into()
        } else {
            format!("{} at {}", section.author, format_utc(section.time_ms))
        };
        println!(
            "section {} version {} digest {} set by {set}, owned by {}",
            section.name,
            section.revision.version,
            section.revision.digest,
            section.owners.join(", ")
        );
    }
    for row in &status.daemons {
        println!(
            "daemon {} index {}: {}",
            row.name,
            row.index,
            daemon_state(status, row)
        );
    }
}
