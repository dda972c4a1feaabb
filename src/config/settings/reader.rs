//! A reader of YAML mappings that collects every fault instead of stopping at the first.

use std::{
    cell::RefCell, net::SocketAddr, ops::RangeInclusive, rc::Rc, str::FromStr, time::Duration,
};

use serde_norway::{Mapping, Value};

use super::{settings_error, Secret};
use crate::{DomainName, Result, RouterName, TeamName};

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Description of a valid name, for the text of a fault.
const NAME_FORM: &str = "1 to 128 bytes of [A-Za-z0-9._:-]";

/// Reader of one mapping of the file, which reports faults with the mapping's path.
pub(super) struct Reader {
    path: String,
    node: Rc<RefCell<Node>>,
    faults: Rc<RefCell<Vec<String>>>,
}

/// A mapping whose keys are removed as they are read; the keys left over are unknown.
#[derive(Default)]
struct Node {
    values: Mapping,
    sections: Vec<(String, Rc<RefCell<Node>>)>,
}

/// A type with a valid value to substitute for a faulty one, so that reading can continue.
pub(super) trait Placeholder {
    /// Returns the substitute.
    fn placeholder() -> Self;
}

impl Placeholder for RouterName {
    fn placeholder() -> Self {
        RouterName::new("-").expect("a valid name")
    }
}

impl Placeholder for DomainName {
    fn placeholder() -> Self {
        DomainName::new("-").expect("a valid name")
    }
}

impl Reader {
    /// Parses the text of the file and returns a reader of its top-level mapping.
    pub(super) fn parse(text: &str) -> Result<Reader> {
        let value: Value =
            serde_norway::from_str(text).map_err(|err| settings_error(&[err.to_string()]))?;
        let reader = Reader::new(String::new(), Default::default());
        reader.fill(value);
        Ok(reader)
    }

    fn new(path: String, faults: Rc<RefCell<Vec<String>>>) -> Reader {
        Reader {
            path,
            node: Default::default(),
            faults,
        }
    }

    fn fill(&self, value: Value) {
        match value {
            Value::Mapping(values) => self.node.borrow_mut().values = values,
            Value::Null => {}
            _ => self.fault_in_mapping("must be a mapping"),
        }
    }

    /// Returns a reader of the mapping under `key`, which is empty when the key is missing.
    pub(super) fn section(&mut self, key: &str) -> Reader {
        let mut section = Reader::new(self.path_of(key), self.faults.clone());
        let existing = self
            .node
            .borrow()
            .sections
            .iter()
            .find(|s| s.0 == key)
            .cloned();
        if let Some((_, node)) = existing {
            section.node = node;
            return section;
        }
        if let Some(value) = self.take(key) {
            section.fill(value);
        }
        let entry = (key.to_string(), section.node.clone());
        self.node.borrow_mut().sections.push(entry);
        section
    }

    /// Returns a reader for each mapping in the list under `key`; none when the key is missing.
    pub(super) fn items(&mut self, key: &str) -> Vec<Reader> {
        let items = self.list(key).unwrap_or_default();
        let mut readers = Vec::new();
        for (index, value) in items.into_iter().enumerate() {
            let reader = Reader::new(
                self.path_of(&format!("{key}[{index}]")),
                self.faults.clone(),
            );
            reader.fill(value);
            let entry = (format!("{key}[{index}]"), reader.node.clone());
            self.node.borrow_mut().sections.push(entry);
            readers.push(reader);
        }
        readers
    }

    /// Reads a required name.
    pub(super) fn required<T: FromStr + Placeholder>(&mut self, key: &str) -> T {
        self.parsed(key, NAME_FORM).unwrap_or_else(T::placeholder)
    }

    /// Reads a required `IP:PORT`.
    pub(super) fn address(&mut self, key: &str) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.parsed(key, "IP:PORT").unwrap_or(unspecified)
    }

    /// Reads a required `http://` URL.
    pub(super) fn url(&mut self, key: &str) -> http::Uri {
        let url: http::Uri = self.parsed(key, "an http:// URL").unwrap_or_default();
        if url.host().is_some() && url.scheme_str() != Some("http") {
            self.fault(key, "must be an http:// URL");
        }
        url
    }

    /// Reads an optional `http://` URL.
    pub(super) fn optional_url(&mut self, key: &str) -> Option<http::Uri> {
        let is_set = self.node.borrow().values.contains_key(key);
        is_set.then(|| self.url(key))
    }

    /// Reads a required secret.
    pub(super) fn secret(&mut self, key: &str) -> Secret {
        let Some(text) = self.parsed::<String>(key, "text") else {
            return Secret::new("");
        };
        self.check_secret(key, &text);
        Secret::new(text)
    }

    /// Reads a required list of at least one secret.
    pub(super) fn secrets(&mut self, key: &str) -> Vec<Secret> {
        let items = self.list(key).unwrap_or_default();
        if items.is_empty() {
            self.fault(key, "must list at least one key");
        }
        let texts = items.iter().map(|item| item.as_str().unwrap_or_default());
        let check = |text: &str| {
            self.check_secret(key, text);
            Secret::new(text)
        };
        texts.map(check).collect()
    }

    /// Reads an optional list of team names.
    pub(super) fn names(&mut self, key: &str) -> Option<Vec<TeamName>> {
        let items = self.list(key)?;
        let mut names = Vec::new();
        for item in &items {
            match TeamName::new(item.as_str().unwrap_or_default()) {
                Ok(name) => names.push(name),
                Err(_) => self.fault(key, &format!("each must be {NAME_FORM}")),
            }
        }
        Some(names)
    }

    /// Reads an optional whole number within `range`, or returns `default`.
    pub(super) fn number(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        match value.as_u64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = range.into_inner();
                self.fault(key, &format!("must be a whole number from {low} to {high}"));
                default
            }
        }
    }

    /// Reads an optional duration in milliseconds within `range`, or returns `default`.
    pub(super) fn millis(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, default, range))
    }

    /// Returns `value` when the file has no fault.
    ///
    /// # Errors
    ///
    /// Returns all faults that were collected, and the keys that were never read.
    pub(super) fn finish<T>(self, value: T) -> Result<T> {
        report_unknown_keys(&self.path, &self.node.borrow(), &self.faults);
        let faults = self.faults.borrow();
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(settings_error(&faults))
        }
    }

    fn parsed<T: FromStr>(&mut self, key: &str, form: &str) -> Option<T> {
        let Some(value) = self.take(key) else {
            self.fault(key, "is required");
            return None;
        };
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.fault(key, &format!("must be {form}"));
        }
        parsed
    }

    fn list(&mut self, key: &str) -> Option<Vec<Value>> {
        match self.take(key)? {
            Value::Sequence(items) => Some(items),
            _ => {
                self.fault(key, "must be a list");
                None
            }
        }
    }

    fn check_secret(&self, key: &str, text: &str) {
        if text.len() < MIN_SECRET_BYTES {
            self.fault(
                key,
                &format!("must be text of at least {MIN_SECRET_BYTES} bytes"),
            );
        }
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.node.borrow_mut().values.remove(key)
    }

    fn path_of(&self, key: &str) -> String {
        join(&self.path, key)
    }

    fn fault(&self, key: &str, fault: &str) {
        let line = format!("{}: {fault}", self.path_of(key));
        self.faults.borrow_mut().push(line);
    }

    fn fault_in_mapping(&self, fault: &str) {
        let line = format!("{}: {fault}", self.path);
        self.faults.borrow_mut().push(line);
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

fn report_unknown_keys(path: &str, node: &Node, faults: &RefCell<Vec<String>>) {
    for key in node.values.keys() {
        let key = key.as_str().unwrap_or("?");
        let line = format!("{}: unknown key", join(path, key));
        faults.borrow_mut().push(line);
    }
    for (key, section) in &node.sections {
        report_unknown_keys(&join(path, key), &section.borrow(), faults);
    }
}
