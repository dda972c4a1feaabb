//! Model checks of the TLA+ specifications in `spec/`.

use std::{path::Path, sync::Arc};

use tla_checker::{
    ast::Value,
    checker::{check, CheckResult},
    load::prepare_from_path,
};

/// Stack size of the checker's thread, in bytes; with a small stack the checker maps a new
/// one for each state.
const CHECKER_STACK_BYTES: usize = 256 * 1024 * 1024;

/// A specification in `spec/` with its invariants in the order of its configuration file.
pub struct Spec {
    pub name: &'static str,
    pub invariants: &'static [&'static str],
}

impl Spec {
    /// Checks the specification as it is and with each of `guards` removed.
    ///
    /// Returns one line for each check, with the states or the actions of a counterexample.
    pub fn table(&'static self, guards: &[&'static str]) -> String {
        let mut table = format!("all guards: {}\n", self.report(None));
        for guard in guards {
            table += &format!("without {guard}: {}\n", self.report(Some(guard)));
        }
        table
    }

    fn report(&'static self, removed_guard: Option<&'static str>) -> String {
        let thread = std::thread::Builder::new().stack_size(CHECKER_STACK_BYTES);
        let thread = thread.spawn(move || self.check(removed_guard));
        thread.expect("a thread").join().expect("a report")
    }

    fn check(&self, removed_guard: Option<&str>) -> String {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("spec");
        let spec = dir.join(format!("{}.tla", self.name));
        let cfg = dir.join(format!("{}.cfg", self.name));
        let constants: Vec<(Arc<str>, Value)> = removed_guard
            .iter()
            .map(|name| (Arc::from(*name), Value::Bool(false)))
            .collect();
        let prepared = prepare_from_path(&spec, Some(&cfg), &constants);
        let mut prepared = prepared.unwrap_or_else(|_| panic!("the specification is not readable"));
        prepared.checker_config.quiet = true;
        prepared.checker_config.allow_deadlock = true;
        let result = check(&prepared.spec, &prepared.domains, &prepared.checker_config);
        self.describe(&result)
    }

    fn describe(&self, result: &CheckResult) -> String {
        match result {
            CheckResult::Ok(stats) => {
                let (states, depth) = (stats.states_explored, stats.max_depth_reached);
                format!("holds, states={states} depth={depth}")
            }
            CheckResult::InvariantViolation(found, _) => {
                let invariant = self.invariants[found.violated_invariant];
                let actions = found.actions.iter().flatten();
                let actions: Vec<_> = actions.map(|action| action.to_string()).collect();
                format!("{invariant} broken by {}", actions.join(" "))
            }
            _ => "not checked".into(),
        }
    }
}
