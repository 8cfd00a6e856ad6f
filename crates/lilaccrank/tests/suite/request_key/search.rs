//! Exhaustive breadth-first search of the states of a specification.

use std::hash::Hash;

use indexmap::IndexMap;

/// A specification: its initial state, successors and invariants.
pub trait Spec {
    type Action: Copy;
    type State: Clone + Eq + Hash;

    fn start(&self) -> Self::State;
    fn successors(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;
    /// Returns the invariant that `state` violates, if any.
    fn violated(&self, state: &Self::State) -> Option<&'static str>;
}

/// All reachable states in breadth-first order, each with its predecessor.
pub struct Search<S: Spec> {
    pub states: IndexMap<S::State, Option<(usize, S::Action)>>,
    pub violating: usize,
    pub violation: Option<&'static str>,
}

/// Searches until a state violates an invariant or no new state is found.
pub fn search<S: Spec>(spec: &S) -> Search<S> {
    let mut states = IndexMap::from([(spec.start(), None)]);
    let mut next = 0;
    while let Some((state, _)) = states.get_index(next) {
        let violation = spec.violated(state);
        if violation.is_some() {
            return Search {
                states,
                violating: next,
                violation,
            };
        }
        for (action, successor) in spec.successors(state) {
            states.entry(successor).or_insert(Some((next, action)));
        }
        next += 1;
    }
    Search {
        states,
        violating: 0,
        violation: None,
    }
}

impl<S: Spec> Search<S> {
    /// Returns the actions from the initial state to state `index`, each with its resulting state.
    pub fn path(&self, mut index: usize) -> Vec<(S::Action, &S::State)> {
        let mut path = Vec::new();
        while let (state, Some((from, action))) = self.states.get_index(index).unwrap() {
            path.push((*action, state));
            index = *from;
        }
        path.reverse();
        path
    }
}
