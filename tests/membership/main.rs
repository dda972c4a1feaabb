//! Membership: probes, rumours, loads and their cost, on a network in virtual time.

mod budget;
mod failure;
mod isolation;
mod load;
mod machine;
mod network;
mod reach;
mod spread;
