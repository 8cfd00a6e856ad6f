//! Documents in files.

use std::io::Read;
use std::path::Path;

use lilaccrank::document::Document;
use lilaccrank::rules::check;
use lilaccrank::rules::problem::Problem;
use lilaccrank::rules::reading;

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

/// The warnings about a document that can be published.
///
/// # Errors
///
/// If it has errors.
pub fn sound(name: &str, document: &Document) -> Result<Vec<Problem>> {
    let problems = check::check(document);
    if check::has_error(&problems) {
        let name = name.to_owned();
        return Err(Error::Document { name, problems });
    }
    Ok(problems)
}
