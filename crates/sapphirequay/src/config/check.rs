//! `sapphirequay config check`: checks a configuration document offline.

use {
    gumdrop::Options,
    quay_config::{Document, check},
    serde_json::json,
    std::{error::Error, fs, path::PathBuf},
};

/// Arguments of `config check`.
#[derive(Debug, Options)]
pub struct CheckArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(free, required, help = "file with the complete document")]
    file: PathBuf,
}

/// Checks the file and prints each fault; fails if there are any.
pub fn run(args: &CheckArgs) -> Result<(), Box<dyn Error>> {
    let text =
        fs::read_to_string(&args.file).map_err(|err| format!("{}: {err}", args.file.display()))?;
    let checked = Document::parse(&text).map_err(|fault| vec![fault]);
    let faults = checked.and_then(|document| check(&document)).err();
    let faults = faults.unwrap_or_default();
    if args.json {
        let faults: Vec<_> = faults
            .iter()
            .map(|fault| {
                json!({
                    "section": fault.section, "key": fault.key, "line": fault.line,
                    "message": fault.message,
                })
            })
            .collect();
        println!("{}", json!({"faults": faults}));
    } else {
        for fault in &faults {
            println!("{}: {fault}", args.file.display());
        }
    }
    match faults.len() {
        0 => Ok(()),
        count => Err(format!("faults: {count}").into()),
    }
}
