//! `rules diff`: what changed between two documents.

use lilaccrank::rules::difference::Difference;

use super::source::Source;
use crate::changes;
use crate::context::Context;
use crate::error::Result;

/// Shows what changed from one document to another.
#[derive(clap::Args)]
pub struct Args {
    /// A generation, a file, or `in-force`.
    before: Source,
    /// A generation, a file, or `in-force`.
    after: Source,
}

impl Args {
    /// Compares the two.
    ///
    /// # Errors
    ///
    /// If one can't be read.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let before = self.before.document(cx).await?;
        let after = self.after.document(cx).await?;
        let difference = Difference::new(&before, &after);
        cx.output.print(&difference, changes::lines)
    }
}
