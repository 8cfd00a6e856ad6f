//! A scenario: engines, daemons, load and faults.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::layout::{EngineLayout, Layout};
use crate::stand_in::Result;

/// A whole scenario, as its file has it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Customers; flows name some of them.
    pub customers: Vec<String>,
    /// Daemons, for the policy that goes through them.
    pub daemons: usize,
    /// Groups of equal engines, numbered through from 0.
    pub engines: Vec<EngineGroup>,
    /// Faults by time.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// What is sent.
    pub load: Vec<Flow>,
    /// Name.
    pub name: String,
    /// Most requests that wait at the daemons; past it the lowest tier is shed.
    #[serde(default)]
    pub waiting_limit: Option<usize>,
}

/// Equal engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// How many.
    pub count: usize,
    /// What each is.
    #[serde(default)]
    pub engine: EngineLayout,
}

/// How the requests of a flow are spread over its time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrival {
    /// Denser at the start, as at the hour: half of them come in the first sixth.
    Burst,
    /// Independent of each other.
    #[default]
    Uniform,
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Spread over the time.
    #[serde(default)]
    pub arrival: Arrival,
    /// Customers that send them; one named twice sends twice as many.
    pub customers: Vec<String>,
    /// Time for the whole answer.
    pub deadline_ms: u64,
    /// When the first may come.
    #[serde(default)]
    pub from_ms: u64,
    /// Tokens of the answer.
    pub max_tokens: Lengths,
    /// Time over which they come.
    pub over_ms: u64,
    /// Prefixes that they share.
    #[serde(default)]
    pub prefixes: Option<Prefixes>,
    /// Tokens of the prompt, without the shared prefix.
    pub prompt_tokens: Lengths,
    /// How many.
    pub requests: usize,
    /// Tier wished for.
    pub tier: String,
}

/// A range of lengths, drawn so that each factor is as likely as another.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Longest.
    pub max: usize,
    /// Shortest, at least 1.
    pub min: usize,
}

/// Prefixes shared among the requests of a flow.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Prefixes {
    /// How many different ones.
    pub count: usize,
    /// Tokens of each.
    pub tokens: usize,
}

/// A fault and its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Time since the start of the load.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// What goes wrong. Daemons and engines go by number; faults of daemons and of the platform do
/// nothing to the baselines, which use neither.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// Connections to the engine are reset and refused.
    Cut {
        /// Number of the engine.
        engine: usize,
        /// How long.
        for_ms: u64,
    },
    /// The daemon is stopped (SIGSTOP) and continued.
    Freeze {
        /// Number of the daemon.
        daemon: usize,
        /// How long.
        for_ms: u64,
    },
    /// The daemon is killed (SIGKILL).
    Kill {
        /// Number of the daemon.
        daemon: usize,
    },
    /// The platform's store carries out writes and loses their answers.
    LostAnswer {
        /// How many.
        answers: u32,
    },
    /// Open connections to the engine fall silent for good.
    Silence {
        /// Number of the engine.
        engine: usize,
    },
    /// The engine gets slower or faster.
    Slow {
        /// Number of the engine.
        engine: usize,
        /// Factor on its times from now on.
        factor: f64,
    },
    /// The platform's store is away.
    StoreDown {
        /// How long.
        for_ms: u64,
    },
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// If the file can't be read, has unknown fields, or a fault names what is not there.
    pub fn read(path: &Path) -> Result<Self> {
        let scenario: Self = serde_json::from_slice(&std::fs::read(path)?)?;
        let engines: usize = scenario.engines.iter().map(|group| group.count).sum();
        for timed in &scenario.faults {
            let known = match timed.fault {
                Fault::Cut { engine, .. }
                | Fault::Silence { engine }
                | Fault::Slow { engine, .. } => engine < engines,
                Fault::Freeze { daemon, .. } | Fault::Kill { daemon } => daemon < scenario.daemons,
                Fault::LostAnswer { .. } | Fault::StoreDown { .. } => true,
            };
            if !known {
                let why = format!("a fault names what is not there: {:?}", timed.fault);
                return Err(std::io::Error::other(why));
            }
        }
        Ok(scenario)
    }

    /// The engines, one by one.
    #[must_use]
    pub fn engine_layouts(&self) -> Vec<EngineLayout> {
        let groups = self.engines.iter();
        groups
            .flat_map(|group| std::iter::repeat_n(group.engine.clone(), group.count))
            .collect()
    }

    /// The cluster that it needs, with or without daemons.
    #[must_use]
    pub fn layout(&self, with_daemons: bool) -> Layout {
        let daemons = if with_daemons { self.daemons } else { 0 };
        let mut layout = Layout::one_data_centre(daemons, self.engine_layouts());
        layout.customers.clone_from(&self.customers);
        layout.waiting_limit = self.waiting_limit;
        layout.data_centres[0].services = 0;
        let on_wire =
            |timed: &TimedFault| matches!(timed.fault, Fault::Cut { .. } | Fault::Silence { .. });
        layout.wires.targets = self.faults.iter().any(on_wire);
        layout
    }
}
