//! The route table that is in force at this router.

use std::sync::{Arc, Mutex};

use super::RouteTable;
use crate::sync::lock;

/// Holds the route table in force, once a table is known.
#[derive(Debug, Default)]
pub struct ActiveRoutes {
    current: Mutex<Option<Arc<RouteTable>>>,
}

impl ActiveRoutes {
    /// Returns the table in force, or `None` when no table is known.
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        lock(&self.current).clone()
    }

    /// Returns the version of the table in force, or 0 when no table is known.
    pub fn version(&self) -> u64 {
        lock(&self.current).as_ref().map_or(0, |t| t.version())
    }

    /// Replaces the table in force if `table` has a higher version; returns whether it did.
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
