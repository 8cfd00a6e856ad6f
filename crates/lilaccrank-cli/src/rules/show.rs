//! `rules show`: the configuration in force, or an earlier one.

use lilaccrank::ids::Generation;

use super::source;
use crate::context::Context;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::publication;

/// Prints the document in force; with --json also its generation and author.
#[derive(clap::Args)]
pub struct Args {
    /// Print this generation instead.
    #[arg(long)]
    generation: Option<Generation>,
}

impl Args {
    /// Prints the document.
    ///
    /// # Errors
    ///
    /// If no daemon tells it.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let fleet = Fleet::new(cx)?;
        let view = match self.generation {
            Some(generation) => source::earlier(&fleet, generation).await?,
            None => publication::in_force(&fleet).await?,
        };
        if cx.output.is_json() {
            return cx.output.print_json(&view);
        }
        cx.output
            .remark(&format!("{} by {}", view.identity, view.author));
        cx.output.print_json(&view.document)
    }
}
