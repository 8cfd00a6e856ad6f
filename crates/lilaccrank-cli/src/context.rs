//! What the subcommands share.

use crate::address::Address;
use crate::api::Api;
use crate::args::Options;
use crate::error::{Error, Result};
use crate::output::Output;

/// Options of the command line in the form that subcommands use.
pub struct Context {
    /// Daemons given on the command line.
    pub admins: Vec<Address>,
    key: Option<String>,
    /// Standard output and error.
    pub output: Output,
}

impl Context {
    /// Takes the options over.
    pub fn new(options: Options) -> Self {
        Self {
            admins: options.admin,
            key: options.key,
            output: Output::new(options.json),
        }
    }

    /// Calls to daemons as this operator.
    ///
    /// # Errors
    ///
    /// If no key is given.
    pub fn api(&self) -> Result<Api> {
        Ok(Api::new(self.key()?.to_owned()))
    }

    /// The bearer key.
    ///
    /// # Errors
    ///
    /// If none is given.
    pub fn key(&self) -> Result<&str> {
        self.key.as_deref().ok_or(Error::NoKey)
    }
}
