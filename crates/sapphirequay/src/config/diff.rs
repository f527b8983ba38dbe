//! `sapphirequay config diff`: compares the file of a section with the active
//! revision.

use {
    crate::{
        config::show::{image, section_file},
        operator::operator_args,
        section_file::SectionFile,
    },
    quay_config::line_diff,
    serde_json::json,
    std::{error::Error, fs, path::PathBuf},
};

operator_args!(
    /// Arguments of `config diff`.
    DiffArgs {
        #[options(free, required, help = "output of `config show`, possibly edited")]
        file: PathBuf,
    }
);

/// Prints the lines that differ: `-` in the active revision, `+` in the file.
pub fn run(args: &DiffArgs) -> Result<(), Box<dyn Error>> {
    let text =
        fs::read_to_string(&args.file).map_err(|err| format!("{}: {err}", args.file.display()))?;
    let file: SectionFile = text.parse()?;
    let now = section_file(&*image(&mut args.connect()?)?, &file.section);
    let diff = line_diff(&now.text, &file.text);
    let current = now.base == file.base;
    if args.json {
        let value = json!({
            "section": file.section, "base_version": file.base.version,
            "version": now.base.version, "base_in_force": current, "diff": diff,
        });
        println!("{value}");
        return Ok(());
    }
    if !current {
        println!(
            "the file is based on version {} ({}), but version {} ({}) is in force",
            file.base.version, file.base.digest, now.base.version, now.base.digest
        );
    }
    print!("{diff}");
    Ok(())
}
