//! Tests of load balancing: placement by object, bounded loads, admission under
//! overload, shares of limits, and targets that fail or leave.

mod load;
mod notice;
mod odd_reports;
mod shares;
mod simulation;
mod targets;
