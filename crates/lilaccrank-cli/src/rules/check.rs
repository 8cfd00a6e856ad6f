//! `rules check`: everything that is wrong with a document, without any daemon.

use std::path::PathBuf;

use lilaccrank::rules::problem::Problem;
use serde::Serialize;

use super::file;
use crate::context::Context;
use crate::error::{Error, Result};

/// Checks a document offline; exit code 1 if it has errors.
#[derive(clap::Args)]
pub struct Args {
    /// The document; `-` is standard input.
    file: PathBuf,
    /// Take warnings, such as a rule that no request reaches, for errors too.
    #[arg(long)]
    strict: bool,
}

/// What was found.
#[derive(Serialize)]
struct Found {
    problems: Vec<Problem>,
}

impl Args {
    /// Checks the document.
    ///
    /// # Errors
    ///
    /// If it can't be read or has errors.
    pub fn run(self, cx: &Context) -> Result<()> {
        let document = file::read(&self.file)?;
        let name = self.file.display().to_string();
        let problems = file::sound(&name, &document)?;
        if self.strict && !problems.is_empty() {
            return Err(Error::Document { name, problems });
        }
        cx.output.print(&Found { problems }, |found| {
            let mut lines: Vec<_> = found.problems.iter().map(ToString::to_string).collect();
            lines.push("the document has no errors".to_owned());
            lines
        })
    }
}
