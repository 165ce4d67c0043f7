//! `savorybeam check`: validates settings and service documents offline.

use std::{fs, path::PathBuf};

use eyre::{WrapErr, bail, eyre};

use crate::{
    adapters::ini::{Fault, parse_document, parse_settings},
    app::count_of,
};

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
        let faults = count_of(faults.len(), "fault");
        bail!("{faults} in {}", count_of(files.len(), "file"));
    }
    let verb = if files.len() == 1 { "is" } else { "are" };
    println!("{} {verb} valid", count_of(files.len(), "file"));
    Ok(())
}

/// Returns the error for a file with faults, which lists them.
pub(super) fn list_faults(faults: &[Fault]) -> eyre::Report {
    let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
    eyre!("{}:\n{}", count_of(all.len(), "fault"), all.join("\n"))
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
