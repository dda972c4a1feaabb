//! A bounded table of the engines that last served each chat, for callers that return no hint.

use std::collections::HashMap;

use slotmap::{new_key_type, SlotMap};

use super::{score, Hint, HintEntry};
use crate::{membership::Engine, ChatId};

/// Number of chats in one bucket (the ways of a set-associative table).
const CHATS_PER_BUCKET: usize = 8;

/// Maximum number of engine incarnations remembered.
const MAX_INCARNATIONS: usize = 4_096;

new_key_type! {
    /// Key of one incarnation of an engine in a [`ChatDirectory`].
    struct EngineKey;
}

/// The hash of a chat and its last two engines, the newest first: 24 bytes.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    chat: u64,
    engines: [EngineKey; 2],
}

/// A bounded table of chats and their last engines.
///
/// The table is a cache: an entry may be evicted, and the table is lost when the router stops.
/// A chat that is not found is placed by its hash.
#[derive(Debug)]
pub struct ChatDirectory {
    /// Buckets of entries in order of last use, the newest first.
    buckets: Vec<[Entry; CHATS_PER_BUCKET]>,
    engines: SlotMap<EngineKey, HintEntry>,
    keys: HashMap<HintEntry, EngineKey>,
}

impl ChatDirectory {
    /// Creates a table with at least `chats` entries.
    pub fn with_capacity(chats: usize) -> Self {
        let buckets = chats.div_ceil(CHATS_PER_BUCKET).next_power_of_two();
        ChatDirectory {
            buckets: vec![[Entry::default(); CHATS_PER_BUCKET]; buckets],
            engines: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }

    /// Returns a hint that names the last engines of `chat`, empty if the chat is not found.
    pub fn get(&self, chat: &ChatId) -> Hint {
        let chat = score::hash_key(chat.as_str());
        let bucket = &self.buckets[self.bucket_index(chat)];
        let entry = bucket.iter().find(|entry| entry.chat == chat);
        let engines = entry.map(|entry| entry.engines).unwrap_or_default();
        let resolved = engines.iter().filter_map(|key| self.engines.get(*key));
        Hint::new(resolved.cloned().collect())
    }

    /// Records that `engine` has served `chat`.
    pub fn record(&mut self, chat: &ChatId, engine: &Engine) {
        let chat = score::hash_key(chat.as_str());
        let key = self.engine_key(engine);
        let index = self.bucket_index(chat);
        let bucket = &mut self.buckets[index];
        let found = bucket.iter().position(|entry| entry.chat == chat);
        let way = found.unwrap_or(CHATS_PER_BUCKET - 1);
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

    /// Returns the size of the buckets in bytes.
    pub fn bytes(&self) -> usize {
        std::mem::size_of_val(self.buckets.as_slice())
    }

    fn bucket_index(&self, chat: u64) -> usize {
        chat as usize & (self.buckets.len() - 1)
    }

    fn engine_key(&mut self, engine: &Engine) -> EngineKey {
        let hint_entry = HintEntry {
            engine: engine.name.clone(),
            incarnation: engine.incarnation,
        };
        if let Some(key) = self.keys.get(&hint_entry) {
            return *key;
        }
        if self.engines.len() >= MAX_INCARNATIONS {
            // Removed keys no longer resolve, so that entries that hold them become empty.
            self.engines.clear();
            self.keys.clear();
        }
        let key = self.engines.insert(hint_entry.clone());
        self.keys.insert(hint_entry, key);
        key
    }
}
