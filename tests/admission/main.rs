//! Admission: budgets, fair queues and what they do to a surge.

mod budget;
mod canary;
mod fairness;
mod model;
mod pool_queue;
mod possible_crash;
mod shared_retries;
mod storm;
