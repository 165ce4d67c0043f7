//! gRPC between entries.

pub mod claim;
