//! `sapphirequay config apply`: puts a section's new text into force.

use {
    crate::{
        operator::{operator_args, print_accepted},
        section_file::SectionFile,
    },
    quay_config::Action,
    std::{error::Error, fs, path::PathBuf},
};

operator_args!(
    /// Arguments of `config apply`.
    ApplyArgs {
        #[options(no_short, meta = "ID", help = "id of the change, to send it again after a lost answer")]
        change_id: Option<String>,
        #[options(no_short, meta = "TEXT", help = "why, for the audit trail")]
        cause: Option<String>,
        #[options(no_short, help = "only tell whether it would be accepted")]
        dry_run: bool,
        #[options(free, required, help = "file from `config show`, edited")]
        file: PathBuf,
    }
);

/// Sends the change.
pub fn run(args: &ApplyArgs) -> Result<(), Box<dyn Error>> {
    let text =
        fs::read_to_string(&args.file).map_err(|err| format!("{}: {err}", args.file.display()))?;
    let file: SectionFile = text.parse()?;
    let action = Action::Change {
        section: file.section,
        base: file.base,
        text: file.text,
    };
    let cause = args.cause.as_deref().unwrap_or_default();
    let mut operator = args.connect()?;
    let (id, accepted) = operator.order(action, args.change_id.as_deref(), cause, args.dry_run)?;
    print_accepted(args.json, &id, &accepted);
    Ok(())
}
