//! The specification: one key, three daemons that are entry and keeper at once, in states and
//! successors. Daemon 0 ranks first, 1 second. Written apart from the code it is compared with.

use crate::request_key::search::Spec;
use xxhash_rust::xxh3;

use crate::request_key::spec_state::{
    Daemon, Entry, Number, Phase, Rec, SIZE, Stage, State, ranked,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lost {
    Copy,
    Nothing,
    Reply,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    Away,
    EffectThenAway,
    Nothing,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    Claim(usize, Lost),
    Crash(usize),
    Dispatch(usize, StoreFault),
    End(usize, Lost),
    Freeze(usize),
    Mark(usize, Lost),
    Rejoin(usize),
    Release(usize),
    Settle(usize),
    Thaw(usize),
}

/// A safeguard left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Broken {
    MarkAfterDispatch,
    NoClaimNumber,
    NoCopy,
    NoGrantNumber,
    NoPauseCheck,
    NoSettling,
    NoStoreClaim,
    Nothing,
}

/// The specification within bounds.
pub struct Keys {
    pub attempts: [u64; SIZE],
    pub broken: Broken,
    pub faults: u8,
    pub idempotent: bool,
}

enum Reply {
    Granted(Rec),
    InProgressOrRun,
    Superseded,
    Unsettled,
}

impl Keys {
    /// The keeper that `entry` asks, if it is the keeper in its own eyes too.
    fn keeper(&self, state: &State, entry: usize) -> Option<usize> {
        let keeper = ranked(state.view(entry)).next()?;
        let agrees = ranked(state.view(keeper)).next() == Some(keeper);
        (state.daemons[keeper].is_running() && agrees).then_some(keeper)
    }

    /// Brings the keeper's record to its copy; whether the change counts.
    fn replicate(&self, state: &mut State, keeper: usize, lost: Lost) -> bool {
        let Some(second) = ranked(state.view(keeper)).nth(1) else {
            return true;
        };
        if self.broken == Broken::NoCopy {
            return true;
        }
        let backs = ranked(state.view(second)).next() == Some(keeper);
        if lost == Lost::Copy || !state.daemons[second].is_running() || !backs {
            return false;
        }
        let rec = state.daemons[keeper].rec.unwrap();
        match state.daemons[second].rec {
            Some(known) if !rec.beats(&known) => {
                state.daemons[keeper].absorb(known);
                false
            }
            _ => {
                state.daemons[second].rec = Some(rec);
                true
            }
        }
    }

    fn may_grant(&self, state: &State, keeper: usize) -> bool {
        self.broken == Broken::NoSettling || state.is_settled(keeper)
    }

    fn claim(&self, state: &mut State, entry: usize, keeper: usize, lost: Lost) -> Reply {
        let attempt = state.daemons[entry].attempts;
        let known = state.daemons[keeper].rec;
        if let Some(rec) = known {
            let live = state.view(keeper)[rec.entry];
            if rec.stage.may_have_run() || (rec.stage == Stage::Claimed && live) {
                return Reply::InProgressOrRun;
            }
        }
        if !self.may_grant(state, keeper) {
            return Reply::Unsettled;
        }
        state.daemons[keeper].grants += 1;
        let name = format!("d{keeper}/1");
        let grant = xxh3::xxh3_64_with_seed(name.as_bytes(), state.daemons[keeper].grants);
        let grant = if self.broken == Broken::NoGrantNumber {
            0
        } else {
            grant
        };
        let number = Number(known.map_or(0, |rec| rec.number.0) + 1, grant);
        let rec = Rec {
            attempt,
            entry,
            number,
            released: known.and_then(|rec| rec.released),
            stage: Stage::Claimed,
        };
        state.daemons[keeper].rec = Some(rec);
        if self.replicate(state, keeper, lost) {
            Reply::Granted(rec)
        } else {
            Reply::Unsettled
        }
    }

    fn mark(&self, state: &mut State, held: Rec, keeper: usize, lost: Lost) -> Reply {
        if !self.may_grant(state, keeper) {
            return Reply::Unsettled;
        }
        let Some(mut rec) = state.daemons[keeper].rec else {
            return Reply::Superseded;
        };
        let unnumbered = self.broken == Broken::NoClaimNumber && rec.stage != Stage::Ended;
        if unnumbered {
            rec = Rec {
                stage: Stage::Claimed,
                ..held
            };
        }
        let markable = matches!(rec.stage, Stage::Claimed | Stage::Marked);
        if !rec.same_claim(&held) || !markable {
            return Reply::Superseded;
        }
        rec.stage = Stage::Marked;
        state.daemons[keeper].rec = Some(rec);
        if self.replicate(state, keeper, lost) || unnumbered {
            Reply::Granted(rec)
        } else {
            Reply::Unsettled
        }
    }

    fn release(&self, state: &mut State, entry: usize, attempt: u64, lost: Lost) -> bool {
        let Some(keeper) = self.keeper(state, entry) else {
            return false;
        };
        let heard = lost != Lost::Reply || keeper == entry;
        let Some(rec) = &mut state.daemons[keeper].rec else {
            return heard;
        };
        if (rec.entry, rec.attempt) != (entry, attempt) || rec.stage == Stage::Ended {
            return heard;
        }
        rec.released = Some(rec.number);
        rec.stage = Stage::Free;
        self.replicate(state, keeper, lost) && heard
    }

    /// The entry gives up a claim, says "not run" and frees the key as far as it can.
    fn refuse(&self, state: &mut State, entry: usize, rec: Rec, lost: Lost) {
        let free = Rec {
            released: Some(rec.number),
            stage: Stage::Free,
            ..rec
        };
        state.daemons[entry].absorb(free);
        let told = self.release(state, entry, rec.attempt, lost);
        state.daemons[entry].entry = if told { Entry::Idle } else { Entry::Refused };
    }

    fn dispatch(&self, state: &mut State, entry: usize, rec: Rec, fault: StoreFault) {
        let claim = (entry, rec.attempt, rec.number);
        if !self.idempotent && self.broken != Broken::NoStoreClaim {
            let free = state
                .store
                .is_none_or(|(_, _, held)| rec.released == Some(held));
            if fault == StoreFault::Away {
                return self.refuse(state, entry, rec, Lost::Nothing);
            }
            if !free && state.store != Some(claim) {
                state.daemons[entry].entry = Entry::Idle;
                return;
            }
            state.store = Some(claim);
            if fault == StoreFault::EffectThenAway {
                return self.refuse(state, entry, rec, Lost::Nothing);
            }
        }
        state.dispatches += 1;
        state.daemons[entry].entry = Entry::Running(rec);
    }

    fn settle(&self, state: &mut State, index: usize) -> Option<()> {
        let view = state.view(index);
        let others: Vec<usize> = ranked(view).filter(|other| *other != index).collect();
        let sees_me = |other: &usize| state.view(*other)[index];
        let answer = |other: &usize| state.daemons[*other].is_running() && sees_me(other);
        if !others.iter().all(answer) {
            return None;
        }
        if let Some(rec) = state.daemons[index].rec {
            for owner in ranked(view).take(2).filter(|owner| *owner != index) {
                state.daemons[owner].absorb(rec);
            }
        }
        for other in others {
            let seen = state.view(other);
            let mut both = ranked(seen).filter(|member| view[*member]).take(2);
            if let (true, Some(rec)) = (both.any(|owner| owner == index), state.daemons[other].rec)
            {
                state.daemons[index].absorb(rec);
            }
        }
        state.daemons[index].settled = Some(view);
        Some(())
    }

    fn apply(&self, mut state: State, action: Action) -> Option<State> {
        match action {
            Action::Claim(entry, lost) => {
                let keeper = self.keeper(&state, entry)?;
                state.daemons[entry].attempts += 1;
                let reply = self.claim(&mut state, entry, keeper, lost);
                state.daemons[entry].entry = match reply {
                    _ if lost == Lost::Reply && keeper != entry => Entry::Refused,
                    Reply::Granted(rec) => {
                        state.daemons[entry].absorb(rec);
                        Entry::Claimed(rec)
                    }
                    Reply::InProgressOrRun | Reply::Superseded => Entry::Idle,
                    Reply::Unsettled => Entry::Refused,
                };
            }
            Action::Mark(entry, lost) => {
                let (rec, ran) = match state.daemons[entry].entry {
                    Entry::Claimed(rec) => (rec, false),
                    Entry::Running(rec) => (rec, true),
                    _ => return None,
                };
                let keeper = self.keeper(&state, entry)?;
                match self.mark(&mut state, rec, keeper, lost) {
                    Reply::Granted(rec) if lost != Lost::Reply || keeper == entry => {
                        state.daemons[entry].absorb(rec);
                        let next = if ran { Entry::Idle } else { Entry::Marked(rec) };
                        state.daemons[entry].entry = next;
                    }
                    Reply::Superseded if lost != Lost::Reply || keeper == entry => {
                        state.daemons[entry].entry = Entry::Idle;
                    }
                    _ => {
                        state.refused_though_run |= ran;
                        self.refuse(&mut state, entry, rec, lost);
                    }
                }
            }
            Action::Dispatch(entry, fault) => match state.daemons[entry].entry {
                Entry::Marked(rec) => self.dispatch(&mut state, entry, rec, fault),
                Entry::Claimed(rec) => self.dispatch(&mut state, entry, rec, fault),
                _ => return None,
            },
            Action::End(entry, lost) => {
                let Entry::Running(rec) = state.daemons[entry].entry else {
                    return None;
                };
                let ended = Rec {
                    stage: Stage::Ended,
                    ..rec
                };
                state.daemons[entry].absorb(ended);
                state.daemons[entry].entry = Entry::Idle;
                state.daemons[entry].attempts = self.attempts[entry];
                if let Some(keeper) = self.keeper(&state, entry)
                    && let Some(known) = state.daemons[keeper].rec
                    && known.same_claim(&rec)
                    && known.stage.may_have_run()
                {
                    state.daemons[keeper].rec = Some(ended);
                    self.replicate(&mut state, keeper, lost);
                }
            }
            Action::Release(entry) => {
                let attempt = state.daemons[entry].attempts;
                if !self.release(&mut state, entry, attempt, Lost::Nothing) {
                    return None;
                }
                state.daemons[entry].entry = Entry::Idle;
            }
            Action::Crash(index) | Action::Freeze(index) => {
                let view = state.view(index);
                state.faults += 1;
                state.live[index] = false;
                let frozen = matches!(action, Action::Freeze(_));
                let daemon = &mut state.daemons[index];
                daemon.phase = if frozen {
                    Phase::Frozen(view)
                } else {
                    Phase::Dead
                };
            }
            Action::Thaw(index) => {
                let view = state.view(index);
                state.daemons[index].phase = Phase::Thawed(view);
                if self.broken != Broken::NoPauseCheck {
                    state.daemons[index].settled = None;
                }
            }
            Action::Rejoin(index) => {
                state.daemons[index].phase = Phase::Up;
                state.live[index] = true;
            }
            Action::Settle(index) => self.settle(&mut state, index)?,
        }
        Some(state)
    }

    fn actions(&self, state: &State, index: usize) -> Vec<Action> {
        let daemon = &state.daemons[index];
        let mut actions = Vec::new();
        match daemon.phase {
            Phase::Dead => return actions,
            Phase::Frozen(_) => return vec![Action::Thaw(index)],
            Phase::Thawed(_) => actions.push(Action::Rejoin(index)),
            Phase::Up => {
                // A record of an idempotent request survives one loss at a time: the next fault
                // comes only after the owners hold it again.
                if state.faults < self.faults && (!self.idempotent || state.all_settled()) {
                    actions.extend([Action::Crash(index), Action::Freeze(index)]);
                }
            }
        }
        if !state.is_settled(index) {
            actions.push(Action::Settle(index));
        }
        let losses = [Lost::Nothing, Lost::Copy, Lost::Reply];
        let early = self.broken == Broken::MarkAfterDispatch;
        match daemon.entry {
            Entry::Idle if daemon.attempts < self.attempts[index] => {
                actions.extend(losses.map(|lost| Action::Claim(index, lost)));
            }
            Entry::Claimed(_) if early => {
                actions.push(Action::Dispatch(index, StoreFault::Nothing))
            }
            Entry::Running(_) if early => {
                actions.extend(losses.map(|lost| Action::Mark(index, lost)));
            }
            Entry::Claimed(_) => actions.extend(losses.map(|lost| Action::Mark(index, lost))),
            Entry::Marked(_) => {
                actions.push(Action::Dispatch(index, StoreFault::Nothing));
                if !self.idempotent {
                    let faults = [StoreFault::Away, StoreFault::EffectThenAway];
                    actions.extend(faults.map(|fault| Action::Dispatch(index, fault)));
                }
            }
            Entry::Running(_) => {
                actions.extend([Lost::Nothing, Lost::Copy].map(|lost| Action::End(index, lost)));
            }
            Entry::Refused => actions.push(Action::Release(index)),
            Entry::Idle => {}
        }
        actions
    }
}

impl Spec for Keys {
    type Action = Action;
    type State = State;

    fn start(&self) -> State {
        let live = [true; SIZE];
        let daemon = Daemon {
            attempts: 0,
            entry: Entry::Idle,
            grants: 0,
            phase: Phase::Up,
            rec: None,
            settled: Some(live),
        };
        State {
            daemons: [daemon; SIZE],
            dispatches: 0,
            faults: 0,
            live,
            refused_though_run: false,
            store: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(Action, State)> {
        let actions = (0..SIZE).flat_map(|index| self.actions(state, index));
        let applied = actions.filter_map(|action| Some((action, self.apply(*state, action)?)));
        applied.filter(|(_, next)| next != state).collect()
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        if state.dispatches > 1 {
            return Some("dispatched twice");
        }
        state
            .refused_though_run
            .then_some("refused as not run though it ran")
    }
}
