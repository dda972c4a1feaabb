//! The hint that callers send with a chat: the engines that last served it.

use std::{fmt, str::FromStr};

use crate::{membership::Engine, Category, EngineName, Error, Incarnation, Result};

/// Maximum number of engines in a hint.
pub const MAX_HINT_ENTRIES: usize = 3;

/// Maximum length of an accepted hint in bytes.
const MAX_HINT_BYTES: usize = 512;

/// An engine in a hint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HintEntry {
    /// Name of the engine.
    pub engine: EngineName,
    /// Incarnation of the engine that served the chat.
    pub incarnation: Incarnation,
}

/// The last engines of a chat, the newest first, as `name@incarnation,...`.
///
/// # Examples
///
/// ```
/// use ebonyspur::placement::Hint;
///
/// let hint: Hint = "engine-4@7,engine-1@3".parse()?;
/// assert_eq!(hint.to_string(), "engine-4@7,engine-1@3");
/// # Ok::<(), ebonyspur::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hint {
    entries: Vec<HintEntry>,
}

impl Hint {
    /// Creates a hint from `entries`, the newest first; the oldest ones over the limit are dropped.
    pub fn new(mut entries: Vec<HintEntry>) -> Hint {
        entries.truncate(MAX_HINT_ENTRIES);
        Hint { entries }
    }

    /// Returns the entries, the newest first.
    pub fn entries(&self) -> &[HintEntry] {
        &self.entries
    }

    /// Returns whether the hint names no engine.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the position of this incarnation of `engine` in the hint, 0 for the newest.
    pub fn position(&self, engine: &Engine) -> Option<usize> {
        let is_same = |entry: &HintEntry| {
            entry.incarnation == engine.incarnation && entry.engine == engine.name
        };
        self.entries.iter().position(is_same)
    }

    /// Returns the hint reduced to its `count` newest entries.
    #[must_use]
    pub fn with_entries(mut self, count: usize) -> Hint {
        self.entries.truncate(count);
        self
    }

    /// Returns the hint with `engine` moved to or inserted at the front, as the newest.
    #[must_use]
    pub fn with_served_by(&self, engine: &Engine) -> Hint {
        let newest = HintEntry {
            engine: engine.name.clone(),
            incarnation: engine.incarnation,
        };
        let older = self
            .entries
            .iter()
            .filter(|entry| entry.engine != engine.name);
        let entries = std::iter::once(&newest).chain(older);
        Hint {
            entries: entries.take(MAX_HINT_ENTRIES).cloned().collect(),
        }
    }
}

impl FromStr for Hint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || Error::not_run(Category::BadInput, "malformed hint");
        if text.len() > MAX_HINT_BYTES {
            return Err(malformed());
        }
        let mut entries = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (name, incarnation) = part.split_once('@').ok_or_else(malformed)?;
            entries.push(HintEntry {
                engine: EngineName::new(name).map_err(|_| malformed())?,
                incarnation: Incarnation(incarnation.parse().map_err(|_| malformed())?),
            });
        }
        if entries.len() > MAX_HINT_ENTRIES {
            return Err(malformed());
        }
        Ok(Hint { entries })
    }
}

impl fmt::Display for Hint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, entry) in self.entries.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{}@{}", entry.engine, entry.incarnation.0)?;
        }
        Ok(())
    }
}
