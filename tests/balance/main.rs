//! Tests of load balancing: placement by object, bounded loads, admission under
//! overload, large bodies and availability zones, shares of limits, and targets that
//! fail or leave.

mod limits;
mod load;
mod notice;
mod odd_reports;
mod regions;
mod room;
mod shares;
mod simulation;
mod targets;
mod transfer;
