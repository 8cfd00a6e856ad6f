//! `rules rollback`: publishes an earlier document anew.

use lilaccrank::ids::Generation;

use super::source;
use crate::context::Context;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::publication;

/// Publishes the document of an earlier generation as a new one.
#[derive(clap::Args)]
pub struct Args {
    /// The generation to go back to.
    generation: Generation,
    #[command(flatten)]
    options: publication::Options,
}

impl Args {
    /// Publishes the earlier document.
    ///
    /// # Errors
    ///
    /// If it is no longer kept, or not accepted.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let fleet = Fleet::new(cx)?;
        let base = publication::in_force(&fleet).await?;
        let earlier = source::earlier(&fleet, self.generation).await?;
        self.options
            .publish(cx, &fleet, base.identity, &earlier.document)
            .await
    }
}
