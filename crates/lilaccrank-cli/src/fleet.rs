//! All daemons: those on the command line, and those that they know.

use std::cell::RefCell;

use futures::{StreamExt, stream};
use indexmap::IndexSet;
use lilaccrank::ids::VmId;
use lilaccrank::membership::State;
use lilaccrank::operators::{Status, path};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::address::Address;
use crate::api::Api;
use crate::context::Context;
use crate::error::{Error, Result};
use crate::survey::{Survey, Unreachable};

/// Daemons asked at once.
const ASKED_AT_ONCE: usize = 64;

/// Calls to one or all daemons.
pub struct Fleet<'a> {
    admins: &'a [Address],
    /// Calls to one daemon.
    pub api: Api,
    /// Daemons that did not answer; they are tried last, as a frozen one costs a timeout.
    silent: RefCell<IndexSet<String>>,
}

impl<'a> Fleet<'a> {
    /// The daemons of a command line.
    ///
    /// # Errors
    ///
    /// If no key is given.
    pub fn new(cx: &'a Context) -> Result<Self> {
        Ok(Self {
            admins: &cx.admins,
            api: cx.api()?,
            silent: RefCell::default(),
        })
    }

    /// Reads from the store through the first daemon that is able to tell.
    ///
    /// # Errors
    ///
    /// The last daemon's, if none is.
    pub async fn get_stored<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.first(async |admin| self.api.get_stored(admin, path).await)
            .await
    }

    /// Asks one daemon how it is.
    ///
    /// # Errors
    ///
    /// If it does not tell.
    pub async fn status(&self, admin: &Address) -> Result<Status> {
        self.api.get(admin, path::STATUS).await
    }

    /// Reads from the first daemon that is able to tell.
    ///
    /// # Errors
    ///
    /// The last daemon's, if none is.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.first(async |admin| self.api.get(admin, path).await)
            .await
    }

    /// Asks the first daemon that is able to tell.
    ///
    /// # Errors
    ///
    /// The last daemon's, if none is.
    pub async fn ask<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        question: &B,
    ) -> Result<T> {
        self.first(async |admin| self.api.ask(admin, path, question).await)
            .await
    }

    /// Posts to the first daemon that takes it. Only for what may be repeated: a daemon that
    /// broke off may have done it.
    ///
    /// # Errors
    ///
    /// The last daemon's, if none took it.
    pub async fn post<B: Serialize, T: DeserializeOwned>(&self, path: &str, body: &B) -> Result<T> {
        self.first(async |admin| self.api.post(admin, path, body).await)
            .await
    }

    async fn first<T>(&self, call: impl AsyncFn(&Address) -> Result<T>) -> Result<T> {
        let mut in_doubt = None;
        let mut last = Error::Usage("give --admin URL".to_owned());
        for admin in self.by_promise() {
            let failure = match call(admin).await {
                Err(e) if elsewhere(&e) => e,
                result => return result,
            };
            self.silent.borrow_mut().insert(admin.to_string());
            match failure {
                Error::Broken { .. } => in_doubt = Some(failure),
                _ => last = failure,
            }
        }
        Err(in_doubt.unwrap_or(last))
    }

    /// The daemons of the command line, those that were silent before at the end.
    fn by_promise(&self) -> Vec<&'a Address> {
        let silent = self.silent.borrow();
        let mut admins: Vec<_> = self.admins.iter().collect();
        admins.sort_by_key(|admin| silent.contains(admin.as_str()));
        admins
    }

    /// Asks every daemon how it is.
    ///
    /// # Errors
    ///
    /// If all refuse, as they do a wrong key.
    pub async fn survey(&self) -> Result<Survey> {
        let mut refusal = None;
        let mut survey = Survey::default();
        let mut asked = IndexSet::new();
        let mut next: Vec<_> = self.admins.iter().cloned().map(Candidate::given).collect();
        while !next.is_empty() {
            next.retain(|candidate| asked.insert(candidate.admin.to_string()));
            let asking = next.iter().map(|candidate| self.status(&candidate.admin));
            let answers = together(asking).await;
            let mut found = Vec::new();
            for (candidate, answer) in next.drain(..).zip(answers) {
                match answer {
                    Ok(status) => {
                        found.extend(others(&status));
                        survey.add(candidate.admin, status);
                    }
                    Err(_) if candidate.leaving => {}
                    Err(e) => {
                        survey.unreachable.push(candidate.unreachable(&e));
                        if matches!(e, Error::Refused { .. }) {
                            refusal.get_or_insert(e);
                        }
                    }
                }
            }
            next = found;
        }
        survey.daemons.sort_unstable_keys();
        match refusal {
            Some(refusal) if survey.daemons.is_empty() => Err(refusal),
            _ => Ok(survey),
        }
    }
}

/// Runs calls to many daemons, a bounded number at once: there may be more daemons than a
/// process may open connections. The answers come in the order of the calls.
pub async fn together<F: Future>(calls: impl Iterator<Item = F>) -> Vec<F::Output> {
    stream::iter(calls).buffered(ASKED_AT_ONCE).collect().await
}

/// Whether another daemon may do what this one did not.
fn elsewhere(e: &Error) -> bool {
    match e {
        Error::Broken { .. } | Error::Unreachable { .. } => true,
        Error::Refused { kind, .. } => kind == "not_ready",
        _ => false,
    }
}

/// A daemon to ask.
struct Candidate {
    admin: Address,
    /// It may have ended by now, which is nothing to tell.
    leaving: bool,
    vm: Option<VmId>,
}

impl Candidate {
    /// From the command line.
    fn given(admin: Address) -> Self {
        Self {
            admin,
            leaving: false,
            vm: None,
        }
    }

    fn unreachable(self, e: &Error) -> Unreachable {
        Unreachable {
            admin: self.admin.to_string(),
            vm: self.vm,
            why: e.to_string(),
        }
    }
}

/// Members that are worth asking: all but the dead.
fn others(status: &Status) -> Vec<Candidate> {
    let alive = status.members.iter().filter(|m| m.state != State::Dead);
    let found = alive.map(|member| Candidate {
        admin: member.admin.into(),
        leaving: member.state == State::Leaving,
        vm: Some(member.vm.clone()),
    });
    found.collect()
}
