//! `savorybeam key-digest`: prints the digest of a key.
//!
//! The key is read from standard input, because arguments appear in the process list and
//! in the history of the shell.

use std::io::{self, Read};

use eyre::WrapErr;

use crate::domain::{CallerKey, Size};

/// The maximum size of a key, which callers send in a request head of at most 32 KiB.
const KEY_MAX: Size = Size::kib(16);

/// Prints the digest of the key that standard input contains. No message repeats the key.
pub(super) fn run() -> eyre::Result<()> {
    let mut line = Vec::new();
    // One byte more than a key may have, so that a longer one is not cut.
    let mut input = io::stdin().take(KEY_MAX.0 + 1);
    input
        .read_to_end(&mut line)
        .wrap_err("read standard input")?;
    if line.len() as u64 > KEY_MAX.0 {
        eyre::bail!("the key has more than {KEY_MAX}");
    }
    println!("{}", CallerKey::from_line(&line)?.digest());
    Ok(())
}
