//! Specification of the protocol for one key and three daemons, each of them entry and owner.
//! Daemon 0 ranks first, 1 second. It shares no code with the implementation, which the replay
//! compares with it.

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

/// Safeguard that is disabled in the specification.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    MarkAfterDispatch,
    NoClaimNumber,
    NoCopy,
    NoGrantNumber,
    NoPauseCheck,
    NoSettling,
    NoStoreClaim,
    Nothing,
}

/// The specification and the bounds of its search.
pub struct KeySpec {
    pub attempts: [u64; SIZE],
    pub mutation: Mutation,
    pub faults: u8,
    pub idempotent: bool,
}

enum Reply {
    Granted(Rec),
    InProgressOrRun,
    Superseded,
    Unsettled,
}

impl KeySpec {
    /// The owner that `entry` calls, if that daemon is running and considers itself the owner.
    fn owner(&self, state: &State, entry: usize) -> Option<usize> {
        let owner = ranked(state.view(entry)).next()?;
        let agrees = ranked(state.view(owner)).next() == Some(owner);
        (state.daemons[owner].is_running() && agrees).then_some(owner)
    }

    /// Replicates the owner's record to its backup. Returns `true` if the change is acknowledged.
    fn replicate(&self, state: &mut State, owner: usize, lost: Lost) -> bool {
        let Some(backup) = ranked(state.view(owner)).nth(1) else {
            return true;
        };
        if self.mutation == Mutation::NoCopy {
            return true;
        }
        let accepts = ranked(state.view(backup)).next() == Some(owner);
        if lost == Lost::Copy || !state.daemons[backup].is_running() || !accepts {
            return false;
        }
        let rec = state.daemons[owner].rec.unwrap();
        match state.daemons[backup].rec {
            Some(known) if !rec.supersedes(&known) => {
                state.daemons[owner].absorb(known);
                false
            }
            _ => {
                state.daemons[backup].rec = Some(rec);
                true
            }
        }
    }

    fn may_grant(&self, state: &State, owner: usize) -> bool {
        self.mutation == Mutation::NoSettling || state.is_settled(owner)
    }

    fn claim(&self, state: &mut State, entry: usize, owner: usize, lost: Lost) -> Reply {
        let attempt = state.daemons[entry].attempts;
        let known = state.daemons[owner].rec;
        if let Some(rec) = known {
            let live = state.view(owner)[rec.entry];
            if rec.stage.may_have_run() || (rec.stage == Stage::Claimed && live) {
                return Reply::InProgressOrRun;
            }
        }
        if !self.may_grant(state, owner) {
            return Reply::Unsettled;
        }
        state.daemons[owner].grant_count += 1;
        let name = format!("d{owner}/1");
        let grant = xxh3::xxh3_64_with_seed(name.as_bytes(), state.daemons[owner].grant_count);
        let grant = if self.mutation == Mutation::NoGrantNumber {
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
        state.daemons[owner].rec = Some(rec);
        if self.replicate(state, owner, lost) {
            Reply::Granted(rec)
        } else {
            Reply::Unsettled
        }
    }

    fn mark(&self, state: &mut State, held: Rec, owner: usize, lost: Lost) -> Reply {
        if !self.may_grant(state, owner) {
            return Reply::Unsettled;
        }
        let Some(mut rec) = state.daemons[owner].rec else {
            return Reply::Superseded;
        };
        let unnumbered = self.mutation == Mutation::NoClaimNumber && rec.stage != Stage::Ended;
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
        state.daemons[owner].rec = Some(rec);
        if self.replicate(state, owner, lost) || unnumbered {
            Reply::Granted(rec)
        } else {
            Reply::Unsettled
        }
    }

    fn release(&self, state: &mut State, entry: usize, attempt: u64, lost: Lost) -> bool {
        let Some(owner) = self.owner(state, entry) else {
            return false;
        };
        let acknowledged = lost != Lost::Reply || owner == entry;
        let Some(rec) = &mut state.daemons[owner].rec else {
            return acknowledged;
        };
        if (rec.entry, rec.attempt) != (entry, attempt) || rec.stage == Stage::Ended {
            return acknowledged;
        }
        rec.released = Some(rec.number);
        rec.stage = Stage::Free;
        self.replicate(state, owner, lost) && acknowledged
    }

    /// The entry refuses the request as not run and releases its claim, if it reaches the owner.
    fn refuse(&self, state: &mut State, entry: usize, rec: Rec, lost: Lost) {
        let free = Rec {
            released: Some(rec.number),
            stage: Stage::Free,
            ..rec
        };
        state.daemons[entry].absorb(free);
        let is_released = self.release(state, entry, rec.attempt, lost);
        state.daemons[entry].entry = if is_released {
            Entry::Idle
        } else {
            Entry::Refused
        };
    }

    fn dispatch(&self, state: &mut State, entry: usize, rec: Rec, fault: StoreFault) {
        let claim = (entry, rec.attempt, rec.number);
        if !self.idempotent && self.mutation != Mutation::NoStoreClaim {
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
            for replica in ranked(view).take(2).filter(|replica| *replica != index) {
                state.daemons[replica].absorb(rec);
            }
        }
        for other in others {
            let seen = state.view(other);
            let mut replicas = ranked(seen).filter(|member| view[*member]).take(2);
            if let (true, Some(rec)) = (
                replicas.any(|replica| replica == index),
                state.daemons[other].rec,
            ) {
                state.daemons[index].absorb(rec);
            }
        }
        state.daemons[index].settled_view = Some(view);
        Some(())
    }

    fn apply(&self, mut state: State, action: Action) -> Option<State> {
        match action {
            Action::Claim(entry, lost) => {
                let owner = self.owner(&state, entry)?;
                state.daemons[entry].attempts += 1;
                let reply = self.claim(&mut state, entry, owner, lost);
                state.daemons[entry].entry = match reply {
                    _ if lost == Lost::Reply && owner != entry => Entry::Refused,
                    Reply::Granted(rec) => {
                        state.daemons[entry].absorb(rec);
                        Entry::Claimed(rec)
                    }
                    Reply::InProgressOrRun | Reply::Superseded => Entry::Idle,
                    Reply::Unsettled => Entry::Refused,
                };
            }
            Action::Mark(entry, lost) => {
                let (rec, has_dispatched) = match state.daemons[entry].entry {
                    Entry::Claimed(rec) => (rec, false),
                    Entry::Running(rec) => (rec, true),
                    _ => return None,
                };
                let owner = self.owner(&state, entry)?;
                match self.mark(&mut state, rec, owner, lost) {
                    Reply::Granted(rec) if lost != Lost::Reply || owner == entry => {
                        state.daemons[entry].absorb(rec);
                        let next = if has_dispatched {
                            Entry::Idle
                        } else {
                            Entry::Marked(rec)
                        };
                        state.daemons[entry].entry = next;
                    }
                    Reply::Superseded if lost != Lost::Reply || owner == entry => {
                        state.daemons[entry].entry = Entry::Idle;
                    }
                    _ => {
                        state.refused_though_run |= has_dispatched;
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
                if let Some(owner) = self.owner(&state, entry)
                    && let Some(known) = state.daemons[owner].rec
                    && known.same_claim(&rec)
                    && known.stage.may_have_run()
                {
                    state.daemons[owner].rec = Some(ended);
                    self.replicate(&mut state, owner, lost);
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
                if self.mutation != Mutation::NoPauseCheck {
                    state.daemons[index].settled_view = None;
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
                // The record of an idempotent request survives one fault at a time: the next one
                // occurs only after the replicas have it again.
                if state.faults < self.faults && (!self.idempotent || state.all_settled()) {
                    actions.extend([Action::Crash(index), Action::Freeze(index)]);
                }
            }
        }
        if !state.is_settled(index) {
            actions.push(Action::Settle(index));
        }
        let losses = [Lost::Nothing, Lost::Copy, Lost::Reply];
        let early = self.mutation == Mutation::MarkAfterDispatch;
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

impl Spec for KeySpec {
    type Action = Action;
    type State = State;

    fn start(&self) -> State {
        let live = [true; SIZE];
        let daemon = Daemon {
            attempts: 0,
            entry: Entry::Idle,
            grant_count: 0,
            phase: Phase::Up,
            rec: None,
            settled_view: Some(live),
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
