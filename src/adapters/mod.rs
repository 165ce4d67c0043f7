//! The outside world behind the ports: HTTP, gRPC, the store, clocks, INI.
//!
//! An adapter translates and does nothing else. Whatever has to be decided is
//! decided in [`policy`](crate::policy), so that another front end can use the
//! same decisions.

pub mod clock;
pub mod events;
pub mod grpc;
pub mod http;
pub mod ini;
pub mod logs;
pub mod metrics;
pub mod platform;
pub mod store;
