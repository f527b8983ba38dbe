//! `sapphirequay keys`: generates keys for development.

use {
    quay_link::DevelopmentKeys,
    std::{error::Error, path::Path},
};

/// Writes a new root certificate, one certificate per role and one per operator
/// into `dir`.
pub fn init(dir: &Path, operators: &[String]) -> Result<(), Box<dyn Error>> {
    DevelopmentKeys::generate()?.write(dir, operators)?;
    println!("keys written to {}", dir.display());
    Ok(())
}
