//! `rules edit`: changes the configuration in force, in an editor or by a script.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

use lilaccrank::document::{Document, Rule};
use lilaccrank::ids::RuleId;
use lilaccrank::operators::ConfigurationView;
use lilaccrank::rules::problem::Problem;
use tempfile::TempPath;

use super::file;
use super::place::{self, Place};
use crate::context::Context;
use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::publication;

/// Opens the document in force in $EDITOR and publishes what was saved, or changes one rule.
#[derive(clap::Args)]
pub struct Args {
    #[command(flatten)]
    options: publication::Options,
    #[command(flatten)]
    place: Place,
    /// Remove this rule.
    #[arg(conflicts_with_all = ["set", "after", "before"], long, value_name = "RULE")]
    remove: Option<RuleId>,
    /// Replace the rule of the same id by the rule in this file, or add it: at the end, or
    /// where --before or --after says; `-` is standard input.
    #[arg(long, value_name = "FILE")]
    set: Option<PathBuf>,
}

impl Args {
    /// Edits and publishes.
    ///
    /// # Errors
    ///
    /// If the edited document has errors, or is not accepted.
    pub async fn run(self, cx: &Context) -> Result<()> {
        if self.place.is_given() && self.set.is_none() {
            let message = "--before and --after go with --set; to move a rule: rules move";
            return Err(Error::Usage(message.to_owned()));
        }
        let fleet = Fleet::new(cx)?;
        let base = publication::in_force(&fleet).await?;
        let Some(scripted) = self.scripted(&base.document)? else {
            return self.in_editor(cx, &fleet, base).await;
        };
        self.publish(cx, &fleet, base, scripted).await
    }

    /// The document with one rule changed, `None` if an editor is to be opened.
    fn scripted(&self, base: &Document) -> Result<Option<Document>> {
        let mut document = base.clone();
        if let Some(set) = &self.set {
            self.set(&mut document, read_rule(set)?)?;
        } else if let Some(remove) = &self.remove {
            let at = place::position(&document, remove)?;
            document.rules.remove(at);
        } else {
            return Ok(None);
        }
        Ok(Some(document))
    }

    /// What was saved is kept if it can't be published, as when another operator published
    /// meanwhile, so that no work is lost.
    async fn in_editor(
        &self,
        cx: &Context,
        fleet: &Fleet<'_>,
        base: ConfigurationView,
    ) -> Result<()> {
        let draft = write_draft(&base.document)?;
        open_editor(&draft)?;
        let published = match file::read(&draft) {
            Ok(document) => self.publish(cx, fleet, base, document).await,
            Err(e) => Err(e),
        };
        if published.is_err() {
            let path = draft.keep().map_err(|e| e.error)?;
            let path = path.display();
            cx.output.remark(&format!(
                "your draft is in {path}: correct it, then `lilaccrank rules publish {path}`"
            ));
        }
        published
    }

    async fn publish(
        &self,
        cx: &Context,
        fleet: &Fleet<'_>,
        base: ConfigurationView,
        document: Document,
    ) -> Result<()> {
        if document == base.document {
            cx.output.remark("nothing was changed");
            return Ok(());
        }
        let base = base.identity;
        self.options.publish(cx, fleet, base, &document).await
    }

    fn set(&self, document: &mut Document, rule: Rule) -> Result<()> {
        match place::position(document, &rule.id) {
            Ok(at) if self.place.is_given() => {
                document.rules.remove(at);
                self.place.insert(document, rule)
            }
            Ok(at) => {
                document.rules[at] = rule;
                Ok(())
            }
            Err(_) => self.place.insert(document, rule),
        }
    }
}

fn read_rule(path: &Path) -> Result<Rule> {
    let text = file::text(path)?;
    serde_json::from_str(&text).map_err(|e| {
        let hint = "give one rule: {\"id\": …, \"when\": {…}, \"then\": {…}}";
        Error::Document {
            name: path.display().to_string(),
            problems: vec![Problem::error("", e.to_string(), hint)],
        }
    })
}

fn write_draft(document: &Document) -> Result<TempPath> {
    let mut draft = tempfile::Builder::new()
        .prefix("lilaccrank-")
        .suffix(".json")
        .tempfile()?;
    let json = serde_json::to_string_pretty(document).map_err(std::io::Error::from)?;
    writeln!(draft, "{json}")?;
    Ok(draft.into_temp_path())
}

fn open_editor(path: &Path) -> Result<()> {
    let editor = std::env::var("VISUAL").or_else(|_| std::env::var("EDITOR"));
    let editor = editor.unwrap_or_else(|_| "vi".to_owned());
    let failed = |why: String| Error::Editor {
        editor: editor.clone(),
        why,
    };
    // Such variables commonly hold arguments too, as in `code --wait`.
    let mut words = editor.split_whitespace();
    let program = words
        .next()
        .ok_or_else(|| failed("it is empty".to_owned()))?;
    let status = Command::new(program).args(words).arg(path).status();
    let status = status.map_err(|e| failed(e.to_string()))?;
    if status.success() {
        Ok(())
    } else {
        Err(failed(status.to_string()))
    }
}
