//! `explain`: which rule decides a request, and why.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::{Duration, SystemTime};

use lilaccrank::document::Document;
use lilaccrank::operators::{ExplainRequest, path};
use lilaccrank::request::Facts;
use lilaccrank::rules::condition::{Condition, Environment};
use lilaccrank::rules::explain::{self, Explanation, RuleVerdict, Verdict};
use lilaccrank::rules::matching::{Decision, RuleSet};

use crate::context::Context;
use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::publication;
use crate::rules::file;

const SECONDS_PER_HOUR: u64 = 3_600;
const HOURS_PER_DAY: u64 = 24;

/// Tells which rule decides a request, and what the other rules say.
#[derive(clap::Args)]
pub struct Args {
    /// The customer that sends it.
    #[arg(long)]
    customer: String,
    /// Data centre of the entry daemon; the asked daemon's own if not given.
    #[arg(default_value = "", hide_default_value = true, long)]
    data_centre: String,
    /// Explain by the rules in this file, without any daemon.
    #[arg(long)]
    file: Option<PathBuf>,
    /// A request header.
    #[arg(long, value_name = "NAME=VALUE")]
    header: Vec<Pair<String>>,
    /// Hour of the day in UTC; now if not given.
    #[arg(long, value_parser = clap::value_parser!(u8).range(0..24))]
    hour: Option<u8>,
    /// Most tokens to generate.
    #[arg(default_value_t = 256, long)]
    max_tokens: u32,
    /// The model asked for.
    #[arg(long)]
    model: Option<String>,
    /// The request must not run more than once.
    #[arg(long)]
    not_idempotent: bool,
    /// Path of the request.
    #[arg(default_value = "/v1/completions", long)]
    path: String,
    /// Length of the prompt.
    #[arg(default_value_t = 0, long)]
    prompt_tokens: u32,
    /// The tier wished for.
    #[arg(long)]
    tier: Option<String>,
    /// Requests that wait in a pool; the load of now if no pool is given.
    #[arg(long, value_name = "POOL=NUMBER")]
    waiting: Vec<Pair<usize>>,
}

/// `NAME=VALUE`.
#[derive(Clone, Debug)]
struct Pair<T> {
    name: String,
    value: T,
}

impl<T: FromStr> FromStr for Pair<T> {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, &'static str> {
        let (name, value) = text.split_once('=').ok_or("give NAME=VALUE")?;
        let value = value.parse().map_err(|_| "the value can't be read")?;
        let name = name.to_owned();
        Ok(Self { name, value })
    }
}

impl Args {
    /// Explains the decision.
    ///
    /// # Errors
    ///
    /// If the file has errors, or no daemon tells.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let explanation = match &self.file {
            Some(path) => self.offline(&file::read(path)?)?,
            None => self.online(&Fleet::new(cx)?).await?,
        };
        cx.output.print(&explanation, lines)
    }

    fn offline(&self, document: &Document) -> Result<Explanation> {
        file::sound("the document", document)?;
        let rules = RuleSet::compile(document).map_err(|e| Error::Usage(e.to_string()))?;
        let environment = self.environment().unwrap_or_else(|| Environment {
            hour: hour_now(),
            ..Environment::default()
        });
        let facts = self.facts(document)?;
        Ok(explain::explain(document, &rules, &facts, &environment))
    }

    async fn online(&self, fleet: &Fleet<'_>) -> Result<Explanation> {
        let in_force = publication::in_force(fleet).await?;
        let req = ExplainRequest {
            environment: self.environment(),
            facts: self.facts(&in_force.document)?,
        };
        fleet.ask(path::EXPLAIN, &req).await
    }

    /// The load and time that were given, `None` for those of now.
    fn environment(&self) -> Option<Environment> {
        if self.waiting.is_empty() && self.hour.is_none() {
            return None;
        }
        let waiting = self.waiting.iter();
        Some(Environment {
            hour: self.hour.unwrap_or_else(hour_now),
            waiting: waiting.map(|p| (p.name.clone(), p.value)).collect(),
            ..Environment::default()
        })
    }

    fn facts(&self, document: &Document) -> Result<Facts> {
        let requested_tier = match &self.tier {
            None => None,
            Some(name) => Some(document.tier(name).ok_or_else(|| Error::NoSuch {
                hint: "see `tiers` in `lilaccrank rules show`",
                name: name.clone(),
                what: "tier",
            })?),
        };
        let headers = self.header.iter();
        Ok(Facts {
            customer: self.customer.clone(),
            data_centre: self.data_centre.clone(),
            headers: headers
                .map(|p| (p.name.to_ascii_lowercase(), p.value.clone()))
                .collect(),
            idempotent: !self.not_idempotent,
            max_tokens: self.max_tokens,
            model: self.model.clone(),
            path: self.path.clone(),
            prompt_tokens: self.prompt_tokens,
            requested_tier,
            ..Facts::default()
        })
    }
}

fn hour_now() -> u8 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let hours = since.map_or(0, |since: Duration| since.as_secs() / SECONDS_PER_HOUR);
    u8::try_from(hours % HOURS_PER_DAY).unwrap_or_default()
}

fn lines(explanation: &Explanation) -> Vec<String> {
    let mut lines = vec![decision(&explanation.decision)];
    lines.extend(explanation.rules.iter().map(verdict));
    lines
}

fn decision(decision: &Decision) -> String {
    match decision {
        Decision::Refuse(refusal) => {
            let by = refusal.rule.as_deref();
            let by = by.map_or("no rule".to_owned(), |rule| format!("rule {rule}"));
            format!("refused by {by} ({}): {}", refusal.kind, refusal.reason)
        }
        Decision::Send(route) => {
            format!("rule {} sends it to pool {}", route.rule, route.pool)
        }
    }
}

fn verdict(rule: &RuleVerdict) -> String {
    let id = &rule.rule;
    match &rule.verdict {
        Verdict::Decides { conditions } => format!("{id}: decides; {}", all_hold(conditions)),
        Verdict::Fails {
            condition,
            found,
            wanted,
        } => format!("{id}: {condition} is {found}, the rule wants {wanted}"),
        Verdict::TooLate { .. } => format!("{id}: would match, but an earlier rule decides"),
    }
}

fn all_hold(conditions: &[Condition]) -> String {
    if conditions.is_empty() {
        return "it matches everything".to_owned();
    }
    let names: Vec<_> = conditions.iter().map(ToString::to_string).collect();
    format!("{} hold", names.join(", "))
}
