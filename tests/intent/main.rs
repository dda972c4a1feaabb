//! Plans: their content, the intents that are refused, and who may confirm them.

mod draft;
mod fixtures;
mod rebalance;
mod token;
