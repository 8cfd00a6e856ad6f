//! Documents in files.

use std::io::Read;
use std::path::Path;

use lilaccrank::document::Document;
use lilaccrank::rules::check;
use lilaccrank::rules::problem::{Problem, Severity};
use lilaccrank::rules::reading;

use crate::context::Context;
use crate::error::{Error, Result};

/// Stands for standard input.
const STDIN: &str = "-";

/// Reads a text; `-` is standard input.
///
/// # Errors
///
/// If the file can't be read.
pub fn text(path: &Path) -> Result<String> {
    let read = if path == Path::new(STDIN) {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}

/// Reads a document whose only mistakes, if any, are in what it says.
///
/// # Errors
///
/// If the file can't be read or is no document.
pub fn read(path: &Path) -> Result<Document> {
    parse(&path.display().to_string(), &text(path)?)
}

/// Reads a document from text.
///
/// # Errors
///
/// If the text is no document.
pub fn parse(name: &str, text: &str) -> Result<Document> {
    reading::read(text).map_err(|problems| Error::Document {
        name: name.to_owned(),
        problems,
    })
}

/// Lets a document pass whose problems are warnings at most; these are shown.
///
/// # Errors
///
/// If it has errors.
pub fn accept(cx: &Context, name: &str, problems: Vec<Problem>) -> Result<()> {
    if check::has_error(&problems) {
        return Err(Error::Document {
            name: name.to_owned(),
            problems,
        });
    }
    for problem in problems.iter().filter(|p| p.severity == Severity::Warning) {
        cx.output.remark(&problem.to_string());
    }
    Ok(())
}
