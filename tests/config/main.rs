//! Settings and the fold of the configuration stream.

mod settings;
