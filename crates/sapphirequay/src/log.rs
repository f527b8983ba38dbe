//! `sapphirequay log`: inspects, backs up and restores the data folder of a
//! ledger host. No command changes an existing folder.

use {
    gumdrop::Options,
    quay_log::{DiskFolder, FileReport, inspect},
    sapphirequayd::{backup, restore},
    std::{
        error::Error,
        fs,
        net::SocketAddr,
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

/// Subcommands of `log`.
#[derive(Debug, Options)]
enum LogCommand {
    #[options(help = "describe the files of a data folder")]
    Inspect(InspectArgs),
    #[options(help = "copy the groups of a data folder; its host may be running")]
    Backup(BackupArgs),
    #[options(help = "recreate groups from a backup on one new host")]
    Restore(RestoreArgs),
}

/// Arguments of `log inspect`.
#[derive(Debug, Options)]
struct InspectArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "data folder, or the folder of one group")]
    dir: PathBuf,
}

/// Arguments of `log backup`.
#[derive(Debug, Options)]
struct BackupArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "data folder")]
    from: PathBuf,
    #[options(free, required, help = "folder to write; must not exist")]
    to: PathBuf,
}

/// Arguments of `log restore`.
#[derive(Debug, Options)]
struct RestoreArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "folder written by log backup")]
    from: PathBuf,
    #[options(free, required, help = "data folder to write; must not exist")]
    to: PathBuf,
    #[options(free, required, help = "link address of the new host")]
    addr: Option<SocketAddr>,
    #[options(free, help = "data centre of the new host")]
    data_centre: String,
}

/// Dispatches to the given subcommand.
pub fn run(args: LogArgs) -> Result<(), Box<dyn Error>> {
    match args.command {
        Some(LogCommand::Inspect(args)) => run_inspect(&args.dir),
        Some(LogCommand::Backup(args)) => {
            for copy in backup(&args.from, &args.to)? {
                println!("group={} last={}", copy.name, copy.last);
            }
            Ok(())
        }
        Some(LogCommand::Restore(args)) => {
            let addr = args
                .addr
                .ok_or("missing argument: link address of the new host")?;
            let node = restore(&args.from, &args.to, addr, &args.data_centre)?;
            println!("node={node}");
            Ok(())
        }
        None => Err("missing subcommand; see --help".into()),
    }
}

/// Prints a line for each file; fails if a file is damaged.
fn run_inspect(dir: &Path) -> Result<(), Box<dyn Error>> {
    let mut damaged = 0;
    for folder in folders(dir)? {
        for report in inspect(&DiskFolder::open(&folder)?)? {
            println!("{}/{report}", folder.display());
            damaged += usize::from(is_damaged(&report));
        }
    }
    if damaged > 0 {
        return Err(format!("damaged files: {damaged}").into());
    }
    Ok(())
}

/// Whether a file has damage that recovery would refuse. A torn tail is
/// repaired by recovery and does not count.
fn is_damaged(report: &FileReport) -> bool {
    report.fault.is_some() && !report.is_torn()
}

/// The folder and its direct subfolders, sorted by path.
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
