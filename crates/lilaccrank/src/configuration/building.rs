//! Builds a configuration in steps, from the sections that changed.

use std::rc::Rc;

use super::adoption::{Configuration, Error, Result};
use super::manifest::Manifest;
use super::sections::{self, Contents, Digest, Parts};
use crate::document::Document;
use crate::rules::check::{self, Checker};
use crate::rules::matching::{Block, Compiler, RuleSet};
use crate::steps::Pace;

/// What a configuration is built from.
pub(super) struct Material<'a> {
    /// Contents of all sections.
    pub(super) contents: Contents,
    /// The configuration in force.
    pub(super) held: Option<Rc<Configuration>>,
    pub(super) manifest: Manifest,
    /// Sections that were read already.
    pub(super) read: &'a Parts,
}

/// A section with rules.
struct RuleSection<'a> {
    digest: &'a Digest,
    /// Position of its first rule in the document.
    first: usize,
    part: &'a Document,
    size: usize,
}

/// Checks and compiles what a manifest names.
///
/// # Errors
/// A section is missing or damaged, or the document has problems.
pub(super) async fn build(material: Material<'_>, pace: &impl Pace) -> Result<Configuration> {
    let Material {
        contents,
        held,
        manifest,
        read,
    } = material;
    let nothing = Parts::new();
    let held_parts = held.as_ref().map_or(&nothing, |held| &held.parts);
    let known = [held_parts, read];
    let parts = sections::read_in_steps(&manifest.sections, &contents, &known, pace).await?;
    let document = sections::join_in_steps(&manifest.sections, &parts, &contents, pace).await;
    let with_same_names = held.filter(|held| check::have_same_names(&held.document, &document));
    let rules = rule_sections(&manifest, &parts, &contents);
    let known_block = |digest: &Digest| with_same_names.as_ref()?.blocks.get(digest);
    let is_new = |section: &&RuleSection<'_>| known_block(section.digest).is_none();
    let mut checker = Checker::new(&document);
    for section in rules.iter().filter(is_new) {
        checker.check_rules(section.first, &section.part.rules);
        pace.handled(section.size).await;
    }
    let problems = checker.into_errors();
    if !problems.is_empty() {
        return Err(Error::Invalid(problems));
    }
    let mut compiler = Compiler::new(&document)?;
    let mut blocks = indexmap::IndexMap::with_capacity(rules.len());
    for section in &rules {
        let block: Rc<Block> = match known_block(section.digest) {
            Some(block) => Rc::clone(block),
            None => {
                pace.handled(section.size).await;
                Rc::new(compiler.compile(&section.part.rules)?)
            }
        };
        compiler.add(&block);
        blocks.insert(section.digest.clone(), block);
    }
    let rules: RuleSet = compiler.finish();
    Ok(Configuration {
        blocks,
        contents,
        cost: pace.cost(),
        document: Rc::new(document),
        manifest,
        parts,
        rules: Rc::new(rules),
    })
}

fn rule_sections<'a>(
    manifest: &'a Manifest,
    parts: &'a Parts,
    contents: &Contents,
) -> Vec<RuleSection<'a>> {
    let mut next = 0;
    let sections = manifest.sections.values().map(|digest| {
        let part = parts[digest].as_ref();
        let first = next;
        next += part.rules.len();
        RuleSection {
            digest,
            first,
            part,
            size: contents[digest].len(),
        }
    });
    sections
        .filter(|section| !section.part.rules.is_empty())
        .collect()
}
