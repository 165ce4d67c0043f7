//! Implementations of the ports: HTTP, gRPC, the store, clocks, INI files.
//!
//! Adapters only translate between external formats and internal types. All
//! decisions are made in [`policy`](crate::policy), so that another front end
//! can reuse them.

pub mod clock;
pub mod events;
pub mod grpc;
pub mod http;
pub mod ini;
pub mod logs;
pub mod metrics;
pub mod platform;
pub mod store;
