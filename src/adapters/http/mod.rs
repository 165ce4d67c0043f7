//! HTTP to callers and targets.
