//! File system traits under the log, so that tests can inject faults.

use {
    crate::disk_full::RETRY_INTERVAL,
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Write as _},
        path::{Path, PathBuf},
        thread,
    },
};

/// An append-only file.
pub trait LogFile: Send + 'static {
    /// Appends a prefix of `bytes` and returns its length.
    ///
    /// # Errors
    ///
    /// After an error it is unknown how much was written.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Flushes all written data to stable storage.
    ///
    /// # Errors
    ///
    /// After an error it is unknown which data is durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to a length in bytes.
    ///
    /// # Errors
    ///
    /// After an error the length of the file is unknown.
    fn truncate(&mut self, bytes: u64) -> io::Result<()>;
}

/// A folder of files. Created, renamed and removed names become durable with
/// [`Folder::sync`].
pub trait Folder: Clone + Send + 'static {
    /// Type of an open file.
    type File: LogFile;

    /// Names of all files, sorted.
    ///
    /// # Errors
    ///
    /// If the folder can't be read.
    fn list(&self) -> io::Result<Vec<Box<str>>>;

    /// Creates an empty file, replacing an existing file of this name.
    ///
    /// # Errors
    ///
    /// If the file can't be created.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens an existing file for appending.
    ///
    /// # Errors
    ///
    /// If the file can't be opened.
    fn append(&self, name: &str) -> io::Result<Self::File>;

    /// Reads the entire file.
    ///
    /// # Errors
    ///
    /// If the file can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Renames a file, replacing an existing file named `to`.
    ///
    /// # Errors
    ///
    /// After an error the file may have either name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// If the file can't be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Flushes the names of all files to stable storage.
    ///
    /// # Errors
    ///
    /// After an error it is unknown which names are durable.
    fn sync(&self) -> io::Result<()>;

    /// Blocks for a moment before an operation is repeated that failed because the
    /// disk was full.
    fn wait_for_room(&self);
}

/// A [`Folder`] in the file system.
#[derive(Debug, Clone)]
pub struct DiskFolder(PathBuf);

/// A [`LogFile`] in the file system.
#[derive(Debug)]
pub struct DiskFile(File);

impl DiskFolder {
    /// Opens the folder at a path, creating it if it does not exist.
    ///
    /// # Errors
    ///
    /// If the folder can't be created.
    pub fn create(path: impl AsRef<Path>) -> io::Result<Self> {
        let path = path.as_ref();
        if !path.is_dir() {
            fs::create_dir_all(path)?;
            if let Some(parent) = path.parent().filter(|parent| parent.is_dir()) {
                File::open(parent)?.sync_all()?;
            }
        }
        Ok(Self(path.into()))
    }

    /// Opens an existing folder.
    ///
    /// # Errors
    ///
    /// If the folder does not exist or can't be read.
    pub fn open(path: impl AsRef<Path>) -> io::Result<Self> {
        fs::read_dir(path.as_ref())?;
        Ok(Self(path.as_ref().into()))
    }

    /// Path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl LogFile for DiskFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn truncate(&mut self, bytes: u64) -> io::Result<()> {
        self.0.set_len(bytes)
    }
}

impl Folder for DiskFolder {
    type File = DiskFile;

    fn list(&self) -> io::Result<Vec<Box<str>>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.push(entry.file_name().to_string_lossy().into());
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<DiskFile> {
        // Opened in append mode, so that a write after a truncation leaves no hole.
        fs::write(self.0.join(name), [])?;
        self.append(name)
    }

    fn append(&self, name: &str) -> io::Result<DiskFile> {
        let file = OpenOptions::new().append(true).open(self.0.join(name))?;
        Ok(DiskFile(file))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.0.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }

    fn wait_for_room(&self) {
        thread::sleep(RETRY_INTERVAL);
    }
}
