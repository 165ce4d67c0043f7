//! The value types that all other modules use: ids, sizes, rates, times and
//! documents.
//!
//! Each value is a newtype, so that a slot count cannot be passed where a rate
//! is expected. Each one parses with [`FromStr`](std::str::FromStr) and prints
//! with [`Display`](std::fmt::Display), and the two round-trip, because the
//! same text appears in settings, documents, logs and the administration API.
//! The cost is some conversion code in the adapters. See
//! [docs/design.md](../../docs/design.md), section 2.

mod blocks;
mod bounds;
mod document;
mod error;
mod homes;
mod ids;
mod instance;
mod locks;
mod position;
mod presence;
mod rates;
mod route;
mod shards;
mod sizes;
mod time;
mod word_enum;
mod workspace;

pub use blocks::{Prefix, SiteId};
pub use bounds::Bounds;
pub use document::{Document, Lane, Place, PlaceState, Priority, Route};
pub use error::ParseError;
pub use homes::Homes;
pub use ids::{
    AzName, EntryId, Epoch, Era, Incarnation, InstanceId, LimitName, PlaceName, RegionName,
    Revision, ServiceName, TargetId, TeamName, WorkspaceName,
};
pub use instance::{Instance, InstanceState};
pub use locks::{lock, read, write};
pub use position::Position;
pub use presence::Presence;
pub use rates::{Mbps, Rps, Weight};
pub use route::{
    CallerLimits, Configuration, RequestKind, RouteRule, ServiceRule, WeightedService,
};
pub use shards::Shards;
pub use sizes::{Size, Slots};
pub use time::Millis;
pub(crate) use word_enum::word_enum;
pub use workspace::{CallerKey, KeyDigest, Quota, Rank, Rate, Workspace};
