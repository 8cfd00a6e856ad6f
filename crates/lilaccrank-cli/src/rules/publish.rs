//! `rules publish`: puts a document in force.

use std::path::PathBuf;

use lilaccrank::ids::Generation;

use super::{file, source};
use crate::context::Context;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::publication;

/// Puts a document in force everywhere.
#[derive(clap::Args)]
pub struct Args {
    /// The generation that the document was made from. If another is in force by now, nothing
    /// is published and the difference is shown. Without it, whatever is in force is replaced.
    #[arg(long, value_name = "GENERATION")]
    base: Option<Generation>,
    /// The document; `-` is standard input.
    file: PathBuf,
    #[command(flatten)]
    options: publication::Options,
}

impl Args {
    /// Publishes the document.
    ///
    /// # Errors
    ///
    /// If it has errors, is not accepted, or not in force everywhere within the wait.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let document = file::read(&self.file)?;
        let name = self.file.display().to_string();
        file::sound(&name, &document)?;
        let fleet = Fleet::new(cx)?;
        let base = match self.base {
            Some(base) => source::earlier(&fleet, base).await?,
            None => publication::in_force(&fleet).await?,
        };
        self.options
            .publish(cx, &fleet, base.identity, &document)
            .await
    }
}
