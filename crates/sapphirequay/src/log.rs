//! `sapphirequay log`: reads a data folder without changing it.

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

/// What to do with a data folder.
#[derive(Debug, Options)]
enum LogCommand {
    #[options(help = "tell what the files of a data folder hold")]
    Inspect(InspectArgs),
    #[options(help = "copy the groups of a data folder, whose host may run")]
    Backup(BackupArgs),
    #[options(help = "start groups again from a copy, with one new host")]
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
    #[options(free, required, help = "copy that log backup made")]
    from: PathBuf,
    #[options(free, required, help = "data folder to write; must not exist")]
    to: PathBuf,
    #[options(free, required, help = "link address of the new host")]
    addr: Option<SocketAddr>,
    #[options(free, help = "data centre of the new host")]
    data_centre: String,
}

/// Runs the command that was asked for.
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
                .ok_or("the link address of the new host is needed")?;
            let node = restore(&args.from, &args.to, addr, &args.data_centre)?;
            println!("node={node}");
            Ok(())
        }
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
