//! Decides which requests get in: retry budgets and the load that a team has here.

mod budget;
mod state;

pub use self::{
    budget::RetryBudget,
    state::{Admission, Class, Permit},
};
