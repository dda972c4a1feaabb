//! Plan tokens: authenticated encodings of plans, which operators hold until they confirm.

use std::{fmt, str::FromStr};

use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine as _};

use super::{Drafted, Plan};
use crate::{peer::Authenticator, Category, Error, Result};

/// An encoded plan with an authentication tag by a router of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanToken(Vec<u8>);

impl PlanToken {
    /// Encodes and authenticates a plan.
    pub fn new(plan: &Plan<Drafted>, authenticator: &Authenticator) -> Self {
        let text = serde_json::to_vec(plan.document()).expect("a plan serializes to JSON");
        PlanToken(authenticator.sign(&text))
    }

    /// Verifies the authentication tag and returns the plan.
    ///
    /// # Errors
    ///
    /// Returns [`Category::BadInput`] when the token is altered or from another fleet.
    pub fn verify(&self, authenticator: &Authenticator) -> Result<Plan<Drafted>> {
        let altered = || {
            Error::not_run(
                Category::BadInput,
                "the plan token is altered or from another fleet",
            )
        };
        let text = authenticator.verify(&self.0).ok_or_else(altered)?;
        let document = serde_json::from_slice(text).map_err(|_| altered())?;
        Ok(Plan::new(document))
    }
}

impl fmt::Display for PlanToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(&self.0))
    }
}

impl FromStr for PlanToken {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bytes = URL_SAFE_NO_PAD.decode(text.trim());
        let malformed = |_| Error::not_run(Category::BadInput, "the plan token is malformed");
        bytes.map(PlanToken).map_err(malformed)
    }
}
