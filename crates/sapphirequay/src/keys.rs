//! `sapphirequay keys`: keys for development.

use {
    quay_link::DevelopmentKeys,
    std::{error::Error, path::Path},
};

/// Writes a new root and one certificate a role into `dir`.
pub fn init(dir: &Path) -> Result<(), Box<dyn Error>> {
    DevelopmentKeys::generate()?.write(dir)?;
    println!("keys written to {}", dir.display());
    Ok(())
}
