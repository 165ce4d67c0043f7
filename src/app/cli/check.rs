//! `savorybeam check`: validates settings and service documents offline.

use std::{fs, path::PathBuf};

use eyre::{WrapErr, bail};

use crate::adapters::ini::{Fault, parse_document, parse_settings};

/// Validates the files, prints every fault in them, and fails if there is one.
pub(super) fn run(files: &[PathBuf]) -> eyre::Result<()> {
    let mut faults = Vec::new();
    for path in files {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).wrap_err_with(|| format!("read {name}"))?;
        faults.extend(check(&name, &text));
    }
    for fault in &faults {
        println!("{fault}");
    }
    if !faults.is_empty() {
        bail!("{} faults in {} files", faults.len(), files.len());
    }
    println!("{} files are valid", files.len());
    Ok(())
}

/// Returns the faults in a file. A text with a `[service]` section is a
/// document, any other is the settings of an entry.
fn check(name: &str, text: &str) -> Vec<Fault> {
    let has_service = text.lines().any(|l| l.trim() == "[service]");
    if has_service {
        return parse_document(name, text).err().unwrap_or_default();
    }
    parse_settings(name, text).err().unwrap_or_default()
}
