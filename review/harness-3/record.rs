//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// File to which lines are written with the seconds since its start. Clones share it.
#[derive(Debug, Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn line(&self, text: &str) {
        let (began, file) = &*self.0;
        let line = format!("{:8.3} {text}", began.elapsed().as_secs_f64());
        println!("{line}");
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }
}
