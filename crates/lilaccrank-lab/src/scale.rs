//! `scale`: what daemons spend on control, how fast a configuration spreads and a dispatcher is
//! replaced, at several sizes. The slopes of docs/CAPACITY.md come from here.

mod document;
mod in_force;
mod reading;
mod takeover;

use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream;
use serde::Serialize;

use crate::caller::{self, Call, Outcome};
use crate::cluster::Cluster;
use crate::layout::{DataCentreLayout, EngineLayout, Layout, MODEL};
use crate::stand_in::Result;

use document::Sizes;
use in_force::Spread;
pub use reading::{Control, control};
use reading::{Cost, Reading, StoreCost};
use takeover::Takeover;

/// Time for members to meet and for what the start cost to be over.
const SETTLE: Duration = Duration::from_secs(5);
/// Keyed requests in progress at once.
const KEYED_AT_ONCE: usize = 64;

/// Settings of the experiment.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Customers in the configuration.
    #[arg(long, default_value_t = 0)]
    customers: usize,
    /// Daemons in total, one cluster after another; several separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "3,9,27,81")]
    daemons: Vec<usize>,
    /// Data centres among which the daemons are shared.
    #[arg(long, default_value_t = 1)]
    data_centres: usize,
    /// Print one JSON object for each size.
    #[arg(long)]
    json: bool,
    /// Keyed requests answered before the memory is read.
    #[arg(long, default_value_t = 0)]
    keys: usize,
    /// Publications whose spread is timed.
    #[arg(long, default_value_t = 5)]
    publications: usize,
    /// Rules in the configuration.
    #[arg(long, default_value_t = 0)]
    rules: usize,
    /// Seconds for which the idle cluster is watched.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Dispatchers killed.
    #[arg(long, default_value_t = 3)]
    takeovers: usize,
    /// Targets in the configuration, beside the one that runs.
    #[arg(long, default_value_t = 0)]
    targets: usize,
}

/// What was measured at one size.
#[derive(Serialize)]
struct Point {
    customers: usize,
    daemons: usize,
    data_centres: usize,
    /// Nothing but control goes on.
    idle: Cost,
    keys: usize,
    /// From accepted to in force on all daemons.
    publications: Option<Spread>,
    rules: usize,
    /// At the platform, from all daemons together.
    store: StoreCost,
    takeovers: Option<Takeover>,
    targets: usize,
}

/// Measures each size in turn.
///
/// # Errors
///
/// If a cluster can't be started or a daemon can't be read.
pub async fn run(args: Args) -> Result<()> {
    for daemons in &args.daemons {
        let point = measure(&args, *daemons).await?;
        if args.json {
            println!("{}", serde_json::to_string(&point)?);
        } else {
            println!("{}", serde_json::to_string_pretty(&point)?);
        }
    }
    Ok(())
}

async fn measure(args: &Args, daemons: usize) -> Result<Point> {
    let sizes = Sizes {
        customers: args.customers,
        rules: args.rules,
        targets: args.targets,
    };
    let layout = layout(daemons, args.data_centres);
    let mut cluster = Cluster::start_with(layout, |document| sizes.grow(document)).await?;
    send_keyed(&cluster, args.keys).await?;
    monoio::time::sleep(SETTLE).await;
    let (idle, store) = watch_idle(&cluster, Duration::from_secs(args.seconds)).await?;
    let publications = in_force::measure(&cluster, args.publications, &idle).await?;
    let takeovers = takeover::measure(&mut cluster, args.takeovers).await?;
    Ok(Point {
        customers: args.customers,
        daemons: cluster.daemons.len(),
        data_centres: args.data_centres,
        idle,
        keys: args.keys,
        publications,
        rules: args.rules,
        store,
        takeovers,
        targets: args.targets,
    })
}

/// One engine in each data centre, so that there is a pool to dispatch.
fn layout(daemons: usize, data_centres: usize) -> Layout {
    let mut layout = Layout::one_data_centre(daemons, Vec::new());
    let data_centre = |i: usize| DataCentreLayout {
        daemons: (daemons + i) / data_centres,
        engines: vec![EngineLayout::default()],
        name: format!("data-centre-{i}"),
        services: 0,
    };
    layout.data_centres = (0..data_centres).map(data_centre).collect();
    layout
}

async fn watch_idle(cluster: &Cluster, window: Duration) -> Result<(Cost, StoreCost)> {
    let store = reading::platform(cluster).await?;
    let before = Reading::of_all(cluster).await?;
    let begun = Instant::now();
    monoio::time::sleep(window).await;
    let after = Reading::of_all(cluster).await?;
    let elapsed = begun.elapsed();
    let store = reading::platform(cluster).await?.since(&store, elapsed);
    Ok((Cost::between(&before, &after, elapsed), store))
}

/// A small request of a customer.
fn small_call(key: &str) -> Call {
    Call {
        bearer: Layout::customer_key("hospital"),
        key: Some(key.to_owned()),
        max_tokens: 1,
        model: MODEL.to_owned(),
        prompt: "job card".to_owned(),
        ..Call::default()
    }
}

async fn send_keyed(cluster: &Cluster, keys: usize) -> Result<()> {
    let calls = stream::iter(0..keys).map(|i| async move {
        let daemon = &cluster.daemons[i % cluster.daemons.len()];
        let call = small_call(&format!("scale-{i}"));
        caller::call(&cluster.client, &daemon.callers.to_string(), &call).await
    });
    let outcomes: Vec<Outcome> = calls.buffer_unordered(KEYED_AT_ONCE).collect().await;
    let failed = outcomes
        .iter()
        .find(|o| !matches!(o, Outcome::Whole { .. }));
    match failed {
        None => Ok(()),
        Some(outcome) => Err(std::io::Error::other(format!(
            "a keyed request was not answered: {outcome:?}"
        ))),
    }
}
