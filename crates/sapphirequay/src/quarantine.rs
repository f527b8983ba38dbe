//! `sapphirequay quarantine`: lists and clears quarantined request content.

use {
    crate::{
        config::show::image,
        operator::{format_utc, operator_args, print_accepted},
        section_file::parse_digest,
    },
    gumdrop::Options,
    quay_config::Action,
    serde_json::json,
    std::error::Error,
};

/// Arguments of `quarantine`.
#[derive(Debug, Options)]
pub struct QuarantineArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<QuarantineCommand>,
}

/// Subcommands of `quarantine`.
#[derive(Debug, Options)]
enum QuarantineCommand {
    #[options(help = "list quarantined content with its expiry time")]
    List(ListArgs),
    #[options(help = "remove content from quarantine")]
    Clear(ClearArgs),
}

operator_args!(
    /// Arguments of `quarantine list`.
    ListArgs {}
);

operator_args!(
    /// Arguments of `quarantine clear`.
    ClearArgs {
        #[options(no_short, meta = "ID", help = "change id; reuse it to send the request again")]
        change_id: Option<String>,
        #[options(no_short, meta = "TEXT", help = "reason recorded in the audit trail")]
        cause: Option<String>,
        #[options(no_short, help = "clear all quarantined content")]
        all: bool,
        #[options(free, help = "digest of the content")]
        digest: Option<String>,
    }
);

/// Dispatches to the given subcommand.
pub fn run(args: QuarantineArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(QuarantineCommand::List(args)) => list(&args),
        Some(QuarantineCommand::Clear(args)) => clear(&args),
        None => Err("missing subcommand; see --help".into()),
    }
}

/// Prints the quarantined digests with their expiry times.
fn list(args: &ListArgs) -> Result<(), Box<dyn Error>> {
    let image = image(&mut args.connect()?)?;
    for (digest, entry) in &image.quarantined {
        if args.json {
            let value = json!({"digest": digest.to_string(), "until_ms": entry.until_ms});
            println!("{value}");
        } else {
            println!("{digest} until {}", format_utc(entry.until_ms));
        }
    }
    Ok(())
}

/// Removes one digest, or all of them, from quarantine.
fn clear(args: &ClearArgs) -> Result<(), Box<dyn Error>> {
    let digest = match (&args.digest, args.all) {
        (Some(digest), false) => Some(parse_digest(digest)?),
        (None, true) => None,
        _ => return Err("either a digest or --all is required".into()),
    };
    let cause = args.cause.as_deref().unwrap_or_default();
    let mut operator = args.connect()?;
    let action = Action::ClearQuarantine(digest);
    let (id, accepted) = operator.submit(action, args.change_id.as_deref(), cause, false)?;
    print_accepted(args.json, &id, &accepted);
    Ok(())
}
