//! Grants on the engines that this router keeps count of.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Mutex,
};

use serde::{Deserialize, Serialize};

use super::GrantReply;
use crate::{
    membership::{Engine, PoolLoad},
    sync::lock,
    EngineName, Incarnation, Instant, PoolName, RouterName,
};

/// Number of a grant within one life of the router that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// The holder of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Router that uses the slot.
    pub router: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Number of the grant.
    pub grant: GrantId,
}

/// Grants on one engine.
#[derive(Debug)]
struct Book {
    pool: PoolName,
    incarnation: Incarnation,
    grants: HashMap<Holder, Instant>,
}

impl Book {
    fn new(engine: &Engine) -> Self {
        Book {
            pool: engine.pool.clone(),
            incarnation: engine.incarnation,
            grants: HashMap::new(),
        }
    }
}

/// The books of all engines of which this router is the steward.
#[derive(Debug, Default)]
pub struct Steward {
    books: Mutex<BTreeMap<EngineName, Book>>,
}

impl Steward {
    /// Grants a slot on `engine` when fewer than `bound` are out.
    ///
    /// Asking again with the same holder is answered the same way and counted once.
    pub fn grant(&self, engine: &Engine, holder: Holder, bound: u32, now: Instant) -> GrantReply {
        if engine.leaving {
            return GrantReply::Leaving;
        }
        let mut books = lock(&self.books);
        let book = books
            .entry(engine.name.clone())
            .or_insert_with(|| Book::new(engine));
        if book.incarnation != engine.incarnation {
            *book = Book::new(engine);
        }
        if book.grants.contains_key(&holder) {
            return GrantReply::Granted;
        }
        if book.grants.len() >= bound as usize {
            return GrantReply::Full;
        }
        book.grants.insert(holder, now);
        GrantReply::Granted
    }

    /// Takes a slot back.
    pub fn release(
        &self,
        engine: &EngineName,
        router: &RouterName,
        incarnation: Incarnation,
        grant: GrantId,
    ) {
        let holder = Holder {
            router: router.clone(),
            incarnation,
            grant,
        };
        if let Some(book) = lock(&self.books).get_mut(engine) {
            book.grants.remove(&holder);
        }
    }

    /// Returns the load of the engines counted here, by pool.
    pub fn loads(&self) -> BTreeMap<PoolName, PoolLoad> {
        let mut loads = BTreeMap::<_, PoolLoad>::new();
        for book in lock(&self.books).values() {
            let load = loads.entry(book.pool.clone()).or_default();
            load.in_flight += book.grants.len() as u32;
            load.engines += 1;
        }
        loads
    }

    /// Returns the slots in use by engine.
    pub fn in_flight(&self) -> BTreeMap<EngineName, u32> {
        let books = lock(&self.books);
        let count = |(name, book): (&EngineName, &Book)| (name.clone(), book.grants.len() as u32);
        books.iter().map(count).collect()
    }
}
