//! Who is admitted when the requests for a service do not all fit.
//!
//! An [`Account`] compares the slots that callers of a region ask for, by rank, with
//! what targets near and far can take. While the need is greater, [`Line`] says which
//! fraction of each rank is admitted. All entries of a region decide by the same sums, so
//! that they draw the line at the same rank. A [`Division`] shares what a rank gets between
//! its workspaces. [`Returns`] recognizes requests that were refused and come again. See
//! [docs/design/room.md](../../../docs/design/room.md).

mod account;
mod fair;
mod line;
mod returns;

pub use self::{
    account::{Account, FarRoom},
    fair::Division,
    line::{Line, LineChange},
    returns::Returns,
};
