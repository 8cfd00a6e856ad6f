//! What a cluster of the lab consists of, and the configuration that goes with it.

use indexmap::IndexMap;
use lilaccrank::document::{
    Customer, Document, Fencing, Operator, Pool, PoolKind, Rule, Target, Then, When,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The model that the lab's engines serve.
pub const MODEL: &str = "lab";
/// The pool of engines.
pub const ENGINES: &str = "engines";
/// The pool of plain services.
pub const SERVICES: &str = "services";
/// Requests that wait for engines, unless a layout says otherwise.
const WAITING_LIMIT: usize = 10_000;
/// Tiers, the most urgent first.
pub const TIERS: [&str; 4] = ["urgent", "high", "normal", "bulk"];

/// One engine of the lab.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineLayout {
    /// Blocks of prefixes it can hold.
    pub cache_blocks: usize,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Tokens of prompts it reads each second.
    pub prefill_tokens_per_s: f64,
    /// Age of its load reports.
    pub report_lag_ms: u64,
    /// Requests it runs at once.
    pub slots: u32,
    /// Factor on its times; 2 is half as fast.
    pub speed: f64,
    /// Milliseconds of one step.
    pub step_ms: f64,
}

impl Default for EngineLayout {
    fn default() -> Self {
        Self {
            cache_blocks: 512,
            fencing: Fencing::Checked,
            prefill_tokens_per_s: 8000.0,
            report_lag_ms: 500,
            slots: 8,
            speed: 1.0,
            step_ms: 6.0,
        }
    }
}

/// One data centre of the lab.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DataCentreLayout {
    /// Daemons.
    pub daemons: usize,
    /// Engines.
    pub engines: Vec<EngineLayout>,
    /// Name.
    pub name: String,
    /// Plain services.
    pub services: usize,
}

/// Which connections pass through wires, which can be cut or silenced.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct WireLayout {
    /// One wire from each data centre's daemons to the platform.
    pub platform: bool,
    /// One wire to each target.
    pub targets: bool,
}

/// A whole cluster.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Layout {
    /// Customers; each may use all tiers.
    pub customers: Vec<String>,
    /// Data centres.
    pub data_centres: Vec<DataCentreLayout>,
    /// Settings of the daemons that differ from their defaults.
    pub settings: IndexMap<String, serde_json::Value>,
    /// Data centres that requests for models are spilled to, in order.
    pub spill: Vec<String>,
    /// Most requests that wait for engines; the default is more than any scenario of the lab sends.
    pub waiting_limit: Option<usize>,
    /// What passes through wires.
    pub wires: WireLayout,
}

impl Layout {
    /// Three data centres with `daemons` daemons, two engines and one service each.
    #[must_use]
    pub fn three_data_centres(daemons: usize) -> Self {
        let data_centre = |name: &str| DataCentreLayout {
            daemons,
            engines: vec![EngineLayout::default(); 2],
            name: name.to_owned(),
            services: 1,
        };
        Self {
            customers: ["hospital", "hotel", "quarry"].map(str::to_owned).into(),
            data_centres: ["spanish-town", "portmore", "half-way-tree"]
                .map(data_centre)
                .into(),
            settings: IndexMap::new(),
            spill: Vec::new(),
            waiting_limit: None,
            wires: WireLayout::default(),
        }
    }

    /// One data centre.
    #[must_use]
    pub fn one_data_centre(daemons: usize, engines: Vec<EngineLayout>) -> Self {
        let mut layout = Self::three_data_centres(daemons);
        layout.data_centres.truncate(1);
        layout.data_centres[0].engines = engines;
        layout
    }

    /// Bearer key of a customer.
    #[must_use]
    pub fn customer_key(customer: &str) -> String {
        format!("customer-key-of-{customer}")
    }

    /// Bearer key of the operator.
    #[must_use]
    pub fn operator_key() -> String {
        "operator-key".to_owned()
    }

    /// The configuration for targets that listen at these addresses.
    #[must_use]
    pub fn document(&self, engines: Vec<Target>, services: Vec<Target>) -> Document {
        Document {
            customers: self.customers.iter().map(|id| customer(id)).collect(),
            operators: vec![Operator {
                id: "operator".to_owned(),
                key_sha256: vec![digest(&Self::operator_key())],
            }],
            pools: vec![
                Pool {
                    id: ENGINES.to_owned(),
                    models: vec![MODEL.to_owned()],
                    targets: engines,
                    waiting_limit: self.waiting_limit.unwrap_or(WAITING_LIMIT),
                    ..Pool::default()
                },
                Pool {
                    id: SERVICES.to_owned(),
                    kind: PoolKind::Service,
                    targets: services,
                    waiting_limit: 1_000,
                    ..Pool::default()
                },
            ],
            rules: rules(&self.spill),
            tiers: TIERS.map(str::to_owned).into(),
            ..Document::default()
        }
    }
}

fn rules(spill: &[String]) -> Vec<Rule> {
    let send = |id: &str, when: When, pool: &str| Rule {
        id: id.to_owned(),
        then: Then {
            pool: Some(pool.to_owned()),
            ..Then::default()
        },
        when,
    };
    let models = When {
        model: Some(vec![MODEL.to_owned()]),
        ..When::default()
    };
    let jobs = When {
        path: Some("/jobs".to_owned()),
        ..When::default()
    };
    let mut models = send("models", models, ENGINES);
    models.then.spill = spill.to_vec();
    vec![models, send("jobs", jobs, SERVICES)]
}

fn customer(id: &str) -> Customer {
    Customer {
        id: id.to_owned(),
        key_sha256: vec![digest(&Layout::customer_key(id))],
        tiers: TIERS.map(str::to_owned).into(),
        weight: 1,
        ..Customer::default()
    }
}

fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key))
}
