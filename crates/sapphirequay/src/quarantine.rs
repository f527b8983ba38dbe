//! `sapphirequay quarantine`: content that is not run.

use {
    crate::{
        config::show::image,
        operator::{operator_args, print_accepted, utc},
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

/// What to do with quarantine.
#[derive(Debug, Options)]
enum QuarantineCommand {
    #[options(help = "print what is quarantined, and until when")]
    List(ListArgs),
    #[options(help = "let content run again")]
    Clear(ClearArgs),
}

operator_args!(
    /// Arguments of `quarantine list`.
    ListArgs {}
);

operator_args!(
    /// Arguments of `quarantine clear`.
    ClearArgs {
        #[options(no_short, meta = "ID", help = "id of the request, to send it again")]
        change_id: Option<String>,
        #[options(no_short, meta = "TEXT", help = "why, for the audit trail")]
        cause: Option<String>,
        #[options(no_short, help = "clear everything")]
        all: bool,
        #[options(free, help = "digest of the content")]
        digest: Option<String>,
    }
);

/// Runs the command that was asked for.
pub fn run(args: QuarantineArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(QuarantineCommand::List(args)) => list(&args),
        Some(QuarantineCommand::Clear(args)) => clear(&args),
        None => Err("a command is needed; see --help".into()),
    }
}

/// Prints what is quarantined.
fn list(args: &ListArgs) -> Result<(), Box<dyn Error>> {
    let image = image(&mut args.connect()?)?;
    for (digest, mark) in &image.quarantined {
        if args.json {
            let value = json!({"digest": digest.to_string(), "until_ms": mark.until_ms});
            println!("{value}");
        } else {
            println!("{digest} until {}", utc(mark.until_ms));
        }
    }
    Ok(())
}

/// Clears one content, or everything.
fn clear(args: &ClearArgs) -> Result<(), Box<dyn Error>> {
    let digest = match (&args.digest, args.all) {
        (Some(digest), false) => Some(parse_digest(digest)?),
        (None, true) => None,
        _ => return Err("name a digest, or --all".into()),
    };
    let cause = args.cause.as_deref().unwrap_or_default();
    let mut operator = args.connect()?;
    let action = Action::ClearQuarantine(digest);
    let (id, accepted) = operator.order(action, args.change_id.as_deref(), cause, false)?;
    print_accepted(args.json, &id, &accepted);
    Ok(())
}
