//! `sapphirequay keys`: keys for development.

use {
    quay_link::DevelopmentKeys,
    std::{error::Error, path::Path},
};

/// Writes a new root, one certificate a role and one an operator into `dir`.
pub fn init(dir: &Path, operators: &[String]) -> Result<(), Box<dyn Error>> {
    DevelopmentKeys::generate()?.write(dir, operators)?;
    println!("keys written to {}", dir.display());
    Ok(())
}
