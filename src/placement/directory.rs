//! The last engines of chats whose callers return no hint.

use std::collections::HashMap;

use slotmap::{new_key_type, SlotMap};

use super::{score, Hint, HintEntry};
use crate::{membership::Engine, ChatId};

/// Chats in one bucket.
const WAYS: usize = 8;

/// Most lives of engines remembered.
const MAX_ENGINES: usize = 4_096;

new_key_type! {
    /// One life of an engine in a [`ChatDirectory`].
    struct EngineKey;
}

/// A chat and its last two engines, the newest first: 24 bytes.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    chat: u64,
    engines: [EngineKey; 2],
}

/// A bounded table of chats and their last engines.
///
/// It is a help, not a record: an entry may be displaced, and a router that goes takes its
/// table with it. A chat that is not found is placed by its hash.
#[derive(Debug)]
pub struct ChatDirectory {
    /// Each bucket holds its chats by last use, the newest first.
    buckets: Vec<[Entry; WAYS]>,
    engines: SlotMap<EngineKey, HintEntry>,
    keys: HashMap<HintEntry, EngineKey>,
}

impl ChatDirectory {
    /// Creates a table for about `chats` chats.
    pub fn with_capacity(chats: usize) -> Self {
        let buckets = chats.div_ceil(WAYS).next_power_of_two();
        ChatDirectory {
            buckets: vec![[Entry::default(); WAYS]; buckets],
            engines: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }

    /// Returns the last engines of `chat`, or an empty hint.
    pub fn get(&self, chat: &ChatId) -> Hint {
        let chat = score::hash_key(chat.as_str());
        let bucket = &self.buckets[self.bucket(chat)];
        let entry = bucket.iter().find(|entry| entry.chat == chat);
        let engines = entry.map(|entry| entry.engines).unwrap_or_default();
        let named = engines.iter().filter_map(|key| self.engines.get(*key));
        Hint::new(named.cloned().collect())
    }

    /// Notes that `engine` has served `chat`.
    pub fn record(&mut self, chat: &ChatId, engine: &Engine) {
        let chat = score::hash_key(chat.as_str());
        let key = self.key(engine);
        let at = self.bucket(chat);
        let bucket = &mut self.buckets[at];
        let found = bucket.iter().position(|entry| entry.chat == chat);
        let way = found.unwrap_or(WAYS - 1);
        bucket[..=way].rotate_right(1);
        let entry = &mut bucket[0];
        if found.is_none() {
            *entry = Entry::default();
        }
        entry.chat = chat;
        if entry.engines[0] != key {
            entry.engines = [key, entry.engines[0]];
        }
    }

    /// Returns the bytes that the buckets take.
    pub fn bytes(&self) -> usize {
        std::mem::size_of_val(self.buckets.as_slice())
    }

    fn bucket(&self, chat: u64) -> usize {
        chat as usize & (self.buckets.len() - 1)
    }

    fn key(&mut self, engine: &Engine) -> EngineKey {
        let life = HintEntry {
            engine: engine.name.clone(),
            incarnation: engine.incarnation,
        };
        if let Some(key) = self.keys.get(&life) {
            return *key;
        }
        if self.engines.len() >= MAX_ENGINES {
            // Keys of lives that are gone no longer resolve, so old entries fall empty.
            self.engines.clear();
            self.keys.clear();
        }
        let key = self.engines.insert(life.clone());
        self.keys.insert(life, key);
        key
    }
}
