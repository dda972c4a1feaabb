//! Plans: what they say, what they refuse, and who may confirm them.

mod draft;
mod fixtures;
mod rebalance;
mod token;
