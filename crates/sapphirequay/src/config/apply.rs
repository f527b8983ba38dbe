//! `sapphirequay config apply`: applies the edited text of a section.

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
        #[options(no_short, meta = "ID", help = "change id; reuse it to send the change again after a lost reply")]
        change_id: Option<String>,
        #[options(no_short, meta = "TEXT", help = "reason recorded in the audit trail")]
        cause: Option<String>,
        #[options(no_short, help = "validate the change without applying it")]
        dry_run: bool,
        #[options(free, required, help = "edited output of `config show`")]
        file: PathBuf,
    }
);

/// Submits the edited section as a change and prints the result.
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
    let (id, accepted) = operator.submit(action, args.change_id.as_deref(), cause, args.dry_run)?;
    print_accepted(args.json, &id, &accepted);
    Ok(())
}
