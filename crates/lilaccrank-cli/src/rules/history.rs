//! `rules history`: the configuration in force and those before it.

use lilaccrank::operators::{History, HistoryEntry, path};

use crate::context::Context;
use crate::error::Result;
use crate::fleet::Fleet;

/// Lists the generations that can be shown, compared and rolled back to, the youngest first.
#[derive(clap::Args)]
pub struct Args {}

impl Args {
    /// Lists the generations.
    ///
    /// # Errors
    ///
    /// If no daemon tells them.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let history: History = Fleet::new(cx)?.get_stored(path::HISTORY).await?;
        cx.output.print(&history, |history| {
            history.entries.iter().map(line).collect()
        })
    }
}

fn line(entry: &HistoryEntry) -> String {
    let author = entry.author.as_deref().unwrap_or("(no longer kept)");
    let identity = &entry.identity;
    format!(
        "{}  {author}  {}",
        identity.generation, identity.publication
    )
}
