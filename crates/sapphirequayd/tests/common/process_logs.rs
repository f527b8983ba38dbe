//! Logs of processes that a test started, for the report of a failure.

use std::{fs, path::Path};

/// Number of lines that are printed of each log.
const LINES: usize = 60;

/// Prints the last lines of each log in a folder.
pub fn print_logs(folder: &Path) {
    for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.extension().is_some_and(|it| it == "log") {
            let text = fs::read_to_string(&path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let from = lines.len().saturating_sub(LINES);
            println!("--- {}\n{}", path.display(), lines[from..].join("\n"));
        }
    }
}
