//! Plans: what they say, what they refuse, and who may confirm them.

mod draft;
mod rebalance;
mod token;
mod world;
