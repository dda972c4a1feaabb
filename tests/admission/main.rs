//! Admission: budgets, fair queues and what they do to a surge.

mod budget;
mod fairness;
mod line;
mod model;
mod shared;
mod storm;
mod trial;
mod watch;
