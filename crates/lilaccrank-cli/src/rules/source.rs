//! A document by the name of its source.

use std::convert::Infallible;
use std::path::PathBuf;
use std::str::FromStr;

use lilaccrank::document::Document;
use lilaccrank::ids::Generation;
use lilaccrank::operators::{ConfigurationView, path};

use super::file;
use crate::context::Context;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::publication;

/// Stands for the configuration in force.
const IN_FORCE: &str = "in-force";

/// Where a document comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// A file.
    File(PathBuf),
    /// A generation of the history.
    Generation(Generation),
    /// What is in force.
    InForce,
}

impl FromStr for Source {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(match text.parse() {
            Ok(generation) => Self::Generation(generation),
            Err(_) if text == IN_FORCE => Self::InForce,
            Err(_) => Self::File(text.into()),
        })
    }
}

impl Source {
    /// Reads the document.
    ///
    /// # Errors
    ///
    /// If it can't be read.
    pub async fn document(&self, cx: &Context) -> Result<Document> {
        match self {
            Self::File(path) => file::read(path),
            Self::Generation(generation) => {
                let fleet = Fleet::new(cx)?;
                Ok(earlier(&fleet, *generation).await?.document)
            }
            Self::InForce => Ok(publication::in_force(&Fleet::new(cx)?).await?.document),
        }
    }
}

/// A generation of the history.
///
/// # Errors
///
/// If it is not kept.
pub async fn earlier(fleet: &Fleet<'_>, generation: Generation) -> Result<ConfigurationView> {
    fleet.get(&format!("{}/{generation}", path::HISTORY)).await
}
