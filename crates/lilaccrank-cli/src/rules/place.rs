//! The place of a rule among the others.

use lilaccrank::document::{Document, Rule};
use lilaccrank::ids::RuleId;

use crate::error::{Error, Result};

/// Where a rule is to stand.
#[derive(clap::Args)]
#[group(multiple = false)]
pub struct Place {
    /// Right after this rule.
    #[arg(long, value_name = "RULE")]
    after: Option<RuleId>,
    /// Right before this rule.
    #[arg(long, value_name = "RULE")]
    before: Option<RuleId>,
}

impl Place {
    /// Whether a place is given.
    pub fn is_given(&self) -> bool {
        self.after.is_some() || self.before.is_some()
    }

    /// Puts a rule at its place; at the end if none is given.
    ///
    /// # Errors
    ///
    /// If the neighbour does not exist.
    pub fn insert(&self, document: &mut Document, rule: Rule) -> Result<()> {
        let at = match (&self.before, &self.after) {
            (Some(before), _) => position(document, before)?,
            (None, Some(after)) => position(document, after)? + 1,
            (None, None) => document.rules.len(),
        };
        document.rules.insert(at, rule);
        Ok(())
    }
}

/// Position of a rule.
///
/// # Errors
///
/// If there is no such rule.
pub fn position(document: &Document, id: &str) -> Result<usize> {
    let found = document.rules.iter().position(|rule| rule.id == id);
    found.ok_or_else(|| Error::NoSuch {
        hint: "see `lilaccrank rules show`",
        name: id.to_owned(),
        what: "rule",
    })
}
