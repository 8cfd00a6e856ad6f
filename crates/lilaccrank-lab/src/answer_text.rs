//! The text that engine stand-ins generate, by which a caller proves that an answer is whole
//! and its own.

use thiserror::Error;
use xxhash_rust::xxh3;

/// Result of checking an answer.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What is wrong with an answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Tokens are missing at the end.
    #[error("the answer stops after {got} of {wanted} tokens")]
    CutShort {
        /// Tokens received.
        got: usize,
        /// Tokens asked for.
        wanted: usize,
    },
    /// A token belongs to another prompt's answer.
    #[error("token {index} answers another prompt: {found:?}")]
    Foreign {
        /// Position in the answer.
        index: usize,
        /// The token received.
        found: String,
    },
    /// A token is missing, doubled or out of order.
    #[error("token {index} is out of place: {found:?}")]
    Misplaced {
        /// Position in the answer.
        index: usize,
        /// The token received.
        found: String,
    },
    /// More tokens than asked for.
    #[error("the answer has {got} tokens, {wanted} were asked for")]
    TooLong {
        /// Tokens received.
        got: usize,
        /// Tokens asked for.
        wanted: usize,
    },
}

/// Digest of a prompt that each token of its answer carries.
#[must_use]
pub fn prompt_digest(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// Text of the token at `index` in the answer to a prompt.
#[must_use]
pub fn token(prompt_digest: u64, index: usize) -> String {
    format!("{prompt_digest:016x}.{index} ")
}

/// The prompt that an engine makes of a chat: the contents of its messages, a line each.
pub fn chat_prompt<'a>(contents: impl IntoIterator<Item = &'a str>) -> String {
    contents.into_iter().collect::<Vec<_>>().join("\n")
}

/// Checks that `text` is the whole answer to `prompt`.
///
/// # Errors
///
/// The first thing that is wrong with it.
pub fn check(prompt: &str, max_tokens: usize, text: &str) -> Result<()> {
    let digest = prompt_digest(prompt);
    let tokens: Vec<&str> = text.split_inclusive(' ').collect();
    for (index, found) in tokens.iter().enumerate() {
        let expected = token(digest, index);
        if *found == expected {
            continue;
        }
        if expected.starts_with(found) {
            let (got, wanted) = (index, max_tokens);
            return Err(Error::CutShort { got, wanted });
        }
        let found = (*found).to_owned();
        let own = found.starts_with(&format!("{digest:016x}."));
        return Err(if own {
            Error::Misplaced { index, found }
        } else {
            Error::Foreign { index, found }
        });
    }
    let (got, wanted) = (tokens.len(), max_tokens);
    match got.cmp(&wanted) {
        std::cmp::Ordering::Equal => Ok(()),
        std::cmp::Ordering::Greater => Err(Error::TooLong { got, wanted }),
        std::cmp::Ordering::Less => Err(Error::CutShort { got, wanted }),
    }
}
