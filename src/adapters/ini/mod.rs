//! Parses settings and documents from INI text.
//!
//! A file is validated as a whole: the reader collects faults instead of stopping
//! at the first one, so that an operator sees all of them in one run. `rust-ini`
//! does not report the lines of keys, so the reader builds its own index of them.

mod document;
mod edit;
mod reader;
mod settings;
mod workspace;

pub use document::{parse_document, print_document};
pub use edit::set_key;
pub use reader::Fault;
pub use settings::{Link, Region, Settings, Site, parse_settings};
