//! State of the request key specification: three daemons, one key and the store.

/// Number of daemons in the specification.
pub const SIZE: usize = 3;
pub type View = [bool; SIZE];

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Number(pub u32, pub u64);

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    Claimed,
    Marked,
    Ended,
    Free,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Rec {
    pub attempt: u64,
    pub entry: usize,
    pub number: Number,
    pub released: Option<Number>,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Entry {
    Claimed(Rec),
    Idle,
    Marked(Rec),
    Refused,
    Running(Rec),
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    Dead,
    Frozen(View),
    Thawed(View),
    Up,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Daemon {
    pub attempts: u64,
    pub entry: Entry,
    pub grant_count: u64,
    pub phase: Phase,
    pub rec: Option<Rec>,
    pub settled_view: Option<View>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct State {
    pub daemons: [Daemon; SIZE],
    pub dispatches: u8,
    pub faults: u8,
    pub live: View,
    pub refused_though_run: bool,
    pub store: Option<(usize, u64, Number)>,
}

impl Stage {
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Marked | Self::Ended)
    }
}

impl Rec {
    pub fn same_claim(&self, other: &Self) -> bool {
        (self.entry, self.attempt, self.number) == (other.entry, other.attempt, other.number)
    }

    /// Returns `true` if this record may replace `old`.
    pub fn supersedes(&self, old: &Self) -> bool {
        let order = |stage| match stage {
            Stage::Claimed => 0,
            Stage::Marked => 1,
            Stage::Ended | Stage::Free => 2,
        };
        if self.same_claim(old) {
            return order(self.stage) >= order(old.stage);
        }
        match (old.stage.may_have_run(), self.stage.may_have_run()) {
            (true, _) => self.released == Some(old.number),
            (false, true) => old.released != Some(self.number),
            (false, false) => self.number > old.number,
        }
    }
}

impl Daemon {
    pub fn absorb(&mut self, rec: Rec) {
        if self.rec.is_none_or(|known| rec.supersedes(&known)) {
            self.rec = Some(rec);
        }
    }

    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Thawed(_) | Phase::Up)
    }
}

pub fn ranked(view: View) -> impl Iterator<Item = usize> {
    (0..SIZE).filter(move |index| view[*index])
}

impl State {
    pub fn view(&self, index: usize) -> View {
        match self.daemons[index].phase {
            Phase::Frozen(view) | Phase::Thawed(view) => view,
            Phase::Dead | Phase::Up => self.live,
        }
    }

    pub fn is_settled(&self, index: usize) -> bool {
        self.daemons[index].settled_view == Some(self.view(index))
    }

    pub fn all_settled(&self) -> bool {
        (0..SIZE).all(|index| match self.daemons[index].phase {
            Phase::Up => self.is_settled(index),
            Phase::Thawed(_) => false,
            Phase::Dead | Phase::Frozen(_) => true,
        })
    }
}
