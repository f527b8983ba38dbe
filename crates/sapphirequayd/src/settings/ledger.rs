//! The ledger role.

use {
    serde::Deserialize,
    std::{fs, io, path::PathBuf},
};

/// The ledger role.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerSettings {
    /// File of the first configuration document, for a new control group. A
    /// group that has a document takes no notice of it.
    pub document: Option<PathBuf>,
    /// Text of the first document, where another program runs the daemon.
    #[serde(skip)]
    pub document_text: Option<Box<str>>,
}

impl LedgerSettings {
    /// The text of the first document, if the settings name one.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    pub fn first_document(&self) -> io::Result<Option<Box<str>>> {
        match (&self.document_text, &self.document) {
            (Some(text), _) => Ok(Some(text.clone())),
            (None, Some(path)) => Ok(Some(fs::read_to_string(path)?.into())),
            (None, None) => Ok(None),
        }
    }
}
