//! `rules edit`: changes the configuration in force, in an editor or by a script.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

use lilaccrank::document::{Document, Rule};
use lilaccrank::ids::RuleId;
use lilaccrank::rules::check;
use lilaccrank::rules::problem::Problem;

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
        let edited = self.edited(cx, &base.document)?;
        if edited == base.document {
            cx.output.remark("nothing was changed");
            return Ok(());
        }
        self.options
            .publish(cx, &fleet, base.identity, &edited)
            .await
    }

    fn edited(&self, cx: &Context, base: &Document) -> Result<Document> {
        let mut document = base.clone();
        if let Some(set) = &self.set {
            self.set(&mut document, read_rule(set)?)?;
            return Ok(document);
        }
        if let Some(remove) = &self.remove {
            let at = place::position(&document, remove)?;
            document.rules.remove(at);
            return Ok(document);
        }
        in_editor(cx, base)
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

/// What was saved is kept if it can't be published, so that no work is lost.
fn in_editor(cx: &Context, base: &Document) -> Result<Document> {
    let mut draft = tempfile::Builder::new()
        .prefix("lilaccrank-")
        .suffix(".json")
        .tempfile()?;
    let json = serde_json::to_string_pretty(base).map_err(std::io::Error::from)?;
    writeln!(draft, "{json}")?;
    open_editor(draft.path())?;
    let read = file::read(draft.path()).and_then(|document| {
        let name = draft.path().display().to_string();
        file::accept(cx, &name, check::check(&document))?;
        Ok(document)
    });
    if read.as_ref().is_err() {
        let kept = draft.into_temp_path().keep();
        let path = kept.map_err(|e| e.error)?;
        let path = path.display();
        cx.output.remark(&format!(
            "your draft is in {path}: correct it, then `lilaccrank rules publish {path}`"
        ));
    }
    read
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
