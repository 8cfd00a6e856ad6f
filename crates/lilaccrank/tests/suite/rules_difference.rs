//! Differences by rule id.

use lilaccrank::document::{Document, Rule};
use lilaccrank::rules::difference::{ChangeKind, Difference};

use crate::seeded;

fn document(ids: &[u8], marked: &[u8]) -> Document {
    let rules = ids.iter().map(|id| {
        let mut rule = Rule {
            id: id.to_string(),
            ..Rule::default()
        };
        rule.then.refuse = marked.contains(id).then(|| "marked".to_owned());
        rule
    });
    Document {
        rules: rules.collect(),
        ..Document::default()
    }
}

/// Changes from one list of rules to another, as kind and id.
macro_rules! difference {
    ($name:ident, $before:tt => $after:tt, marked $marked:tt: $expected:expr) => {
        #[test]
        fn $name() {
            let changes = Difference::new(&document(&$before, &[]), &document(&$after, &$marked));
            let text: Vec<_> = changes
                .rules
                .iter()
                .map(|change| format!("{} {}", change.kind, change.id))
                .collect();
            let expected: &[&str] = &$expected;
            assert_eq!(text, expected);
        }
    };
}

difference!(nothing, [1, 2, 3] => [1, 2, 3], marked []: []);
difference!(one_added, [1, 2] => [1, 9, 2], marked []: ["added 9"]);
difference!(one_changed_and_moved, [1, 2, 3] => [2, 3, 1], marked [1]: ["moved 1", "changed 1"]);
difference!(one_moved_up, [1, 2, 3, 4] => [4, 1, 2, 3], marked []: ["moved 4"]);
difference!(one_removed, [1, 2, 3] => [1, 3], marked []: ["removed 2"]);

#[test]
fn changes_suffice_to_rebuild_the_order() {
    fn holds(before: Vec<u8>, after: Vec<u8>) -> bool {
        let (before, after) = (unique(before), unique(after));
        let changes = Difference::new(&document(&before, &[]), &document(&after, &[])).rules;
        let touched = |id: &u8| changes.iter().any(|change| change.id == id.to_string());
        let mut rebuilt: Vec<u8> = before.iter().filter(|id| !touched(id)).copied().collect();
        for change in changes
            .iter()
            .filter(|change| change.kind != ChangeKind::Removed)
        {
            rebuilt.insert(change.after.unwrap(), change.id.parse().unwrap());
        }
        rebuilt == after
    }
    let holds: fn(Vec<u8>, Vec<u8>) -> bool = holds;
    seeded::check(1000, holds);
}

fn unique(ids: Vec<u8>) -> Vec<u8> {
    let ids: indexmap::IndexSet<u8> = ids.into_iter().collect();
    ids.into_iter().collect()
}
