//! Sections: the parts of a document, immutable and named by their content.
//!
//! A change rewrites one section only, so that neither the store nor the wire between daemons
//! carries the whole document. Rules are cut where the hash of an id says so: a rule put in
//! front does not shift all later cuts.

use std::rc::Rc;

use indexmap::IndexMap;
use sha2::{Digest as _, Sha256};
use thiserror::Error;
use xxhash_rust::xxh3;

use crate::document::{Document, Rule};
use crate::steps::{self, AtOnce, Pace};
use crate::store::VALUE_LIMIT;

/// SHA-256 of a section's content, in hexadecimal.
pub type Digest = String;
/// Place of a section in the document, such as `pools/large`.
pub type SectionName = String;
/// Contents of sections: JSON, each a document that holds one part only.
pub type Contents = IndexMap<Digest, Rc<str>>;
/// Sections that were verified and read, by digest.
pub type Parts = IndexMap<Digest, Rc<Document>>;
/// Result of splitting or assembling a document.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const CUSTOMERS_PER_SHARD: usize = 256;
const RULES_PER_SECTION: u64 = 64;
const RULES_PER_SECTION_MAX: usize = 512;

/// Why a document can't be split or assembled.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The content of a section does not have its digest.
    #[error("section {0} does not have its digest")]
    Corrupt(SectionName),
    /// Sections are missing.
    #[error("{} sections are missing", .0.len())]
    Missing(Vec<Digest>),
    /// A section is over the store's limit.
    #[error("section {name} has {size} bytes, over the limit of {VALUE_LIMIT}")]
    TooLarge {
        /// The section.
        name: SectionName,
        /// Its size in bytes.
        size: usize,
    },
    /// A section is not JSON of the expected shape.
    #[error("section {name} can't be read: {message}")]
    Unreadable {
        /// What serde says.
        message: String,
        /// The section.
        name: SectionName,
    },
}

/// A document in sections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sections {
    /// The content of each digest.
    pub contents: Contents,
    /// The digest of each section, sorted by name.
    pub index: IndexMap<SectionName, Digest>,
    /// The sections as they would be read.
    pub parts: Parts,
}

impl Sections {
    /// Splits a document.
    ///
    /// # Errors
    /// A section is over the store's limit.
    pub fn split(document: &Document) -> Result<Self> {
        let known = Self::default();
        steps::at_once(Self::split_in_steps(
            document,
            &known.contents,
            &known.parts,
            &AtOnce,
        ))
    }

    /// Like [`split`](Self::split), with pauses. Rules that make up a section of `known_parts`, whose contents
    /// are in `known`, are not written anew.
    ///
    /// # Errors
    /// A section is over the store's limit.
    pub async fn split_in_steps(
        document: &Document,
        known: &Contents,
        known_parts: &Parts,
        pace: &impl Pace,
    ) -> Result<Self> {
        let mut sections = Self::default();
        let known_rules = by_first_rule(known_parts);
        let general = Document {
            caller_limits: document.caller_limits,
            operators: document.operators.clone(),
            tiers: document.tiers.clone(),
            ..Document::default()
        };
        sections.add("general".to_owned(), general, pace).await?;
        for (name, part) in customer_shards(document) {
            sections.add(name, part, pace).await?;
        }
        for pool in &document.pools {
            let pools = vec![pool.clone()];
            let part = Document {
                pools,
                ..Document::default()
            };
            let name = format!("pools/{}", pool.id);
            sections.add(name, part, pace).await?;
        }
        for (position, rules) in rule_cuts(&document.rules).into_iter().enumerate() {
            let name = format!("rules/{position:06}");
            let first = rules.first().map(|rule| rule.id.as_str());
            let found = first.and_then(|first| known_rules.get(first));
            let found = found.filter(|digest| holds_only(&known_parts[**digest], rules));
            if let Some((digest, content)) = found.and_then(|digest| known.get_key_value(*digest)) {
                sections.add_known(name, digest, content, &known_parts[digest]);
                pace.handled(content.len()).await;
                continue;
            }
            let rules = rules.to_vec();
            let part = Document {
                rules,
                ..Document::default()
            };
            sections.add(name, part, pace).await?;
        }
        sections.index.sort_unstable_keys();
        Ok(sections)
    }

    fn add_known(
        &mut self,
        name: SectionName,
        digest: &Digest,
        content: &Rc<str>,
        part: &Rc<Document>,
    ) {
        self.contents.insert(digest.clone(), Rc::clone(content));
        self.parts.insert(digest.clone(), Rc::clone(part));
        self.index.insert(name, digest.clone());
    }

    async fn add(&mut self, name: SectionName, part: Document, pace: &impl Pace) -> Result<()> {
        let content = serde_json::to_string(&part).map_err(|e| unreadable(&name, &e))?;
        let size = content.len();
        if size > VALUE_LIMIT {
            return Err(Error::TooLarge { name, size });
        }
        let digest = digest(&content);
        self.contents.insert(digest.clone(), content.into());
        self.parts.insert(digest.clone(), Rc::new(part));
        self.index.insert(name, digest);
        pace.handled(size).await;
        Ok(())
    }
}

/// Verifies and reads the sections of `index`, but for those that are in `known`.
///
/// # Errors
/// A section is missing, corrupt or unreadable.
pub fn read(
    index: &IndexMap<SectionName, Digest>,
    contents: &Contents,
    known: &Parts,
) -> Result<Parts> {
    steps::at_once(read_in_steps(index, contents, &[known], &AtOnce))
}

/// Like [`read`], with pauses, and with several maps of known sections.
///
/// # Errors
/// A section is missing, corrupt or unreadable.
pub async fn read_in_steps(
    index: &IndexMap<SectionName, Digest>,
    contents: &Contents,
    known: &[&Parts],
    pace: &impl Pace,
) -> Result<Parts> {
    let missing = missing(index, contents);
    if !missing.is_empty() {
        return Err(Error::Missing(missing));
    }
    let mut parts = Parts::with_capacity(index.len());
    for (name, expected) in index {
        let part = match known.iter().find_map(|known| known.get(expected)) {
            Some(part) => Rc::clone(part),
            None => {
                let content = &contents[expected];
                let part = Rc::new(read_part(name, expected, content)?);
                pace.handled(content.len()).await;
                part
            }
        };
        parts.insert(expected.clone(), part);
    }
    Ok(parts)
}

fn read_part(name: &str, expected: &str, content: &str) -> Result<Document> {
    if digest(content) != *expected {
        return Err(Error::Corrupt(name.to_owned()));
    }
    serde_json::from_str(content).map_err(|e| unreadable(name, &e))
}

/// Puts the sections of `index` together.
///
/// # Errors
/// A section is missing, corrupt or unreadable.
pub fn assemble(index: &IndexMap<SectionName, Digest>, contents: &Contents) -> Result<Document> {
    let parts = read(index, contents, &Parts::new())?;
    Ok(join(index, &parts))
}

/// Puts sections that were read together in the order of `index`. Customers, which have no
/// order of their own, come in that of their shards.
///
/// # Panics
/// If `parts` lacks a section; [`read`] returns all of them.
#[must_use]
pub fn join(index: &IndexMap<SectionName, Digest>, parts: &Parts) -> Document {
    steps::at_once(join_in_steps(index, parts, &Contents::new(), &AtOnce))
}

/// Like [`join`], with pauses; `contents` tell the sizes of the sections.
pub async fn join_in_steps(
    index: &IndexMap<SectionName, Digest>,
    parts: &Parts,
    contents: &Contents,
    pace: &impl Pace,
) -> Document {
    let mut document = Document::default();
    for digest in index.values() {
        let part = &parts[digest];
        document.caller_limits = document.caller_limits.or(part.caller_limits);
        document.customers.extend_from_slice(&part.customers);
        document.operators.extend_from_slice(&part.operators);
        document.pools.extend_from_slice(&part.pools);
        document.rules.extend_from_slice(&part.rules);
        document.tiers.extend_from_slice(&part.tiers);
        pace.handled(contents.get(digest).map_or(0, |content| content.len()))
            .await;
    }
    document
}

/// Digests of `index` that are not in `contents`.
#[must_use]
pub fn missing(index: &IndexMap<SectionName, Digest>, contents: &Contents) -> Vec<Digest> {
    let digests = index.values();
    let missing = digests.filter(|digest| !contents.contains_key(*digest));
    missing.cloned().collect()
}

/// Key of a section in the store.
#[must_use]
pub fn key(digest: &str) -> String {
    format!("configuration/section/{digest}")
}

fn digest(content: &str) -> Digest {
    hex::encode(Sha256::digest(content))
}

fn customer_shards(document: &Document) -> IndexMap<SectionName, Document> {
    let count = document.customers.len().div_ceil(CUSTOMERS_PER_SHARD);
    let count = count.next_power_of_two();
    let mut shards: IndexMap<SectionName, Document> = IndexMap::new();
    let mut customers: Vec<_> = document.customers.iter().collect();
    customers.sort_by(|a, b| a.id.cmp(&b.id));
    for customer in customers {
        let shard = xxh3::xxh3_64(customer.id.as_bytes()) % count as u64;
        let shard = shards.entry(format!("customers/{shard:x}-of-{count:x}"));
        shard.or_default().customers.push(customer.clone());
    }
    shards
}

/// Digests of the sections with rules, by the id of the first one.
fn by_first_rule(parts: &Parts) -> IndexMap<&str, &Digest> {
    parts
        .iter()
        .filter_map(|(digest, part)| Some((part.rules.first()?.id.as_str(), digest)))
        .collect()
}

/// Returns `true` if a section consists of these rules.
fn holds_only(part: &Document, rules: &[Rule]) -> bool {
    let Document {
        caller_limits,
        customers,
        operators,
        pools,
        rules: held,
        tiers,
    } = part;
    let has_others = caller_limits.is_some()
        || !customers.is_empty()
        || !operators.is_empty()
        || !pools.is_empty()
        || !tiers.is_empty();
    held == rules && !has_others
}

fn rule_cuts(rules: &[Rule]) -> Vec<&[Rule]> {
    let mut cuts = Vec::new();
    let mut from = 0;
    for (at, rule) in rules.iter().enumerate() {
        let is_cut = xxh3::xxh3_64(rule.id.as_bytes()).is_multiple_of(RULES_PER_SECTION);
        if at > from && (is_cut || at - from == RULES_PER_SECTION_MAX) {
            cuts.push(&rules[from..at]);
            from = at;
        }
    }
    if from < rules.len() {
        cuts.push(&rules[from..]);
    }
    cuts
}

fn unreadable(name: &str, e: &serde_json::Error) -> Error {
    Error::Unreadable {
        message: e.to_string(),
        name: name.to_owned(),
    }
}
