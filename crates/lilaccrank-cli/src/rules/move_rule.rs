//! `rules move`: gives a rule another place in the order.

use lilaccrank::ids::RuleId;

use super::place::{self, Place};
use crate::context::Context;
use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::publication;

/// Moves a rule of the configuration in force and publishes the result.
#[derive(clap::Args)]
pub struct Args {
    #[command(flatten)]
    options: publication::Options,
    #[command(flatten)]
    place: Place,
    /// The rule.
    rule: RuleId,
}

impl Args {
    /// Moves the rule.
    ///
    /// # Errors
    ///
    /// If a rule does not exist, or the publication is not accepted.
    pub async fn run(self, cx: &Context) -> Result<()> {
        if !self.place.is_given() {
            return Err(Error::Usage(
                "give --before RULE or --after RULE".to_owned(),
            ));
        }
        let fleet = Fleet::new(cx)?;
        let base = publication::in_force(&fleet).await?;
        let mut document = base.document;
        let at = place::position(&document, &self.rule)?;
        let rule = document.rules.remove(at);
        self.place.insert(&mut document, rule)?;
        self.options
            .publish(cx, &fleet, base.identity, &document)
            .await
    }
}
