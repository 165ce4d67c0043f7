//! Settings and documents as INI text.
//!
//! A file is checked as a whole: the reader notes every fault and goes on, since
//! an operator who sees one fault a run needs many runs. `rust-ini` does not
//! report lines, so an index of the lines is built beside it.

mod document;
mod edit;
mod reader;
mod settings;

pub use document::{parse_document, print_document};
pub use edit::set_key;
pub use reader::Fault;
pub use settings::{Link, Region, Settings, Site, parse_settings};
