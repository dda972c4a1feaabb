//! The table in force at this router.

use std::sync::{Arc, Mutex};

use super::RouteTable;
use crate::sync::lock;

/// The table in force, if any is known yet.
#[derive(Debug, Default)]
pub struct ActiveRoutes {
    current: Mutex<Option<Arc<RouteTable>>>,
}

impl ActiveRoutes {
    /// Returns the table in force.
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        lock(&self.current).clone()
    }

    /// Returns the version in force, 0 when no table is known.
    pub fn version(&self) -> u64 {
        lock(&self.current).as_ref().map_or(0, |t| t.version())
    }

    /// Puts `table` in force unless the one in force is as new; returns whether it did.
    pub fn replace_if_newer(&self, table: RouteTable) -> bool {
        let mut current = lock(&self.current);
        if current
            .as_ref()
            .is_some_and(|t| t.version() >= table.version())
        {
            return false;
        }
        *current = Some(Arc::new(table));
        true
    }
}
