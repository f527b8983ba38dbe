//! The files under a log, as small traits, so that tests can bring faults about.

use {
    crate::retry_while_full,
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Write as _},
        path::{Path, PathBuf},
    },
};

/// A file that is written at its end.
pub trait LogFile: Send + 'static {
    /// Writes some of `bytes` and tells how many.
    ///
    /// # Errors
    ///
    /// Nothing is known of what was written.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Returns once all that was written survives a loss of power.
    ///
    /// # Errors
    ///
    /// Nothing is known of what survives.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file to a length.
    ///
    /// # Errors
    ///
    /// The length is unknown.
    fn truncate(&mut self, bytes: u64) -> io::Result<()>;
}

/// A folder of files. Names last once the folder is synced.
pub trait Folder: Clone + Send + 'static {
    /// A file of the folder.
    type File: LogFile;

    /// Names of all files, in order.
    ///
    /// # Errors
    ///
    /// If the folder can't be read.
    fn list(&self) -> io::Result<Vec<Box<str>>>;

    /// Makes an empty file, in place of one with this name.
    ///
    /// # Errors
    ///
    /// If it can't be made.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file to write at its end.
    ///
    /// # Errors
    ///
    /// If it can't be opened.
    fn append(&self, name: &str) -> io::Result<Self::File>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// If it can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Gives a file another name, in place of one that has it.
    ///
    /// # Errors
    ///
    /// Either name may hold after this.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// If it can't be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns once all names survive a loss of power.
    ///
    /// # Errors
    ///
    /// Nothing is known of which names survive.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug, Clone)]
pub struct DiskFolder(PathBuf);

/// A file of the file system.
#[derive(Debug)]
pub struct DiskFile(File);

impl DiskFolder {
    /// The folder at a path, which is made if it is missing.
    ///
    /// # Errors
    ///
    /// If it can't be made.
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

    /// The folder at a path, which must be there.
    ///
    /// # Errors
    ///
    /// If it is not there.
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
        retry_while_full("write", || self.0.write(bytes))
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
        // Appending, so that a cut does not leave a hole.
        retry_while_full("create", || fs::write(self.0.join(name), []))?;
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
}
