//! Guards the choice of a target: placement by object, bounded loads, admission
//! under overload, shares of limits, and targets that fail or leave.

mod load;
mod shares;
mod targets;
mod world;
