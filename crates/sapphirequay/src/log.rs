//! `sapphirequay log`: reads a data folder without changing it.

use {
    gumdrop::Options,
    quay_log::{DiskFolder, FileReport, inspect},
    std::{
        error::Error,
        fs,
        path::{Path, PathBuf},
    },
};

/// Arguments of `log`.
#[derive(Debug, Options)]
pub struct LogArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<LogCommand>,
}

/// What to do with a data folder.
#[derive(Debug, Options)]
enum LogCommand {
    #[options(help = "tell what the files of a data folder hold")]
    Inspect(InspectArgs),
}

/// Arguments of `log inspect`.
#[derive(Debug, Options)]
struct InspectArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "data folder, or the folder of one group")]
    dir: PathBuf,
}

/// Runs the command that was asked for.
pub fn run(args: LogArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(LogCommand::Inspect(args)) => run_inspect(&args.dir),
        None => Err("a command is needed; see --help".into()),
    }
}

/// Prints a line for each file; fails if one is damaged.
fn run_inspect(dir: &Path) -> Result<(), Box<dyn Error>> {
    let mut damaged = 0;
    for folder in folders(dir)? {
        for report in inspect(&DiskFolder::open(&folder)?)? {
            println!("{}/{report}", folder.display());
            damaged += usize::from(is_damaged(&report));
        }
    }
    if damaged > 0 {
        return Err(format!("{damaged} files are damaged").into());
    }
    Ok(())
}

/// Whether a file holds a fault that recovery would refuse.
fn is_damaged(report: &FileReport) -> bool {
    report.fault.is_some() && !report.is_torn()
}

/// The folder and those right below it, in order.
fn folders(dir: &Path) -> Result<Vec<PathBuf>, Box<dyn Error>> {
    let mut folders = vec![dir.to_path_buf()];
    for entry in fs::read_dir(dir).map_err(|err| format!("{}: {err}", dir.display()))? {
        let path = entry?.path();
        if path.is_dir() {
            folders.push(path);
        }
    }
    folders.sort_unstable();
    Ok(folders)
}
