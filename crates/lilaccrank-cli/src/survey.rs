//! How all daemons are, and who did not tell.

use std::fmt;

use indexmap::{IndexMap, IndexSet};
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::ids::VmId;
use lilaccrank::membership::State;
use lilaccrank::operators::Status;
use serde::Serialize;

use crate::address::Address;
use crate::error::{Error, Result};

/// A daemon that did not tell.
#[derive(Clone, Debug, Serialize)]
pub struct Unreachable {
    /// Where it was asked.
    pub admin: String,
    /// Its vm, if another daemon named it.
    pub vm: Option<VmId>,
    /// What happened.
    pub why: String,
}

/// A live daemon without a publication.
#[derive(Clone, Debug, Serialize)]
pub struct Lacking {
    /// What it has in force, `None` if it does not tell.
    pub held: Option<Identity>,
    /// Its vm, or its address if nobody named it.
    pub vm: VmId,
}

/// How all daemons are.
#[derive(Debug, Default, Serialize)]
pub struct Survey {
    /// Who told, by vm.
    pub daemons: IndexMap<VmId, Daemon>,
    /// Who did not.
    pub unreachable: Vec<Unreachable>,
}

/// One daemon that told how it is.
#[derive(Debug, Serialize)]
pub struct Daemon {
    /// Where it was asked.
    pub admin: String,
    /// What it told.
    #[serde(flatten)]
    pub status: Status,
}

impl Survey {
    /// Fails if a daemon did not tell, after what the others told was printed.
    ///
    /// # Errors
    ///
    /// If any is unreachable.
    pub fn complete(self) -> Result<()> {
        if self.unreachable.is_empty() {
            return Ok(());
        }
        Err(Error::Partial(self.unreachable))
    }

    /// Live daemons that have neither this configuration in force nor a later one.
    pub fn lacking(&self, published: &Identity) -> Vec<Lacking> {
        let lacks = |daemon: &&Daemon| {
            let held = &daemon.status.identity;
            !daemon.status.leaving && held != published && held.generation <= published.generation
        };
        let told = self.daemons.values().filter(lacks).map(|daemon| Lacking {
            held: Some(daemon.status.identity.clone()),
            vm: daemon.status.vm.clone(),
        });
        let ended = self.ended();
        let silent = self.unreachable.iter();
        let silent = silent.filter(|silent| !ended.contains(&silent.admin));
        let silent = silent.map(|unreachable| Lacking {
            held: None,
            vm: unreachable.name(),
        });
        told.chain(silent).collect()
    }

    /// Addresses of daemons that the others know to be dead or leaving. They are named by the
    /// command line only, and nobody waits for them.
    fn ended(&self) -> IndexSet<String> {
        let statuses = self.daemons.values().map(|daemon| &daemon.status);
        let members = statuses.flat_map(|status| &status.members);
        let ended = members.filter(|m| matches!(m.state, State::Dead | State::Leaving));
        ended.map(|member| member.admin.to_string()).collect()
    }

    /// Adds what a daemon told.
    pub fn add(&mut self, admin: Address, status: Status) {
        let daemon = Daemon {
            admin: admin.to_string(),
            status,
        };
        self.daemons
            .entry(daemon.status.vm.clone())
            .or_insert(daemon);
    }
}

impl Unreachable {
    /// Its vm, or its address if nobody named it.
    pub fn name(&self) -> String {
        self.vm.clone().unwrap_or_else(|| self.admin.clone())
    }
}

impl fmt::Display for Unreachable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.name(), self.why)
    }
}

impl fmt::Display for Lacking {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.held {
            Some(held) => write!(f, "{} has {held}", self.vm),
            None => write!(f, "{} does not tell", self.vm),
        }
    }
}
