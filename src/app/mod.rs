//! The running entry and its command line.
