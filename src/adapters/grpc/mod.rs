//! gRPC between entries. See [docs/design.md](../../../docs/design.md),
//! section 5.

pub mod limit;
