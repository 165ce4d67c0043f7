//! The `savorybeam` command.

fn main() {}
