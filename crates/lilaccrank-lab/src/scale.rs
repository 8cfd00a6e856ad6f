//! `scale`: what daemons spend on control, how fast a configuration spreads and a dispatcher is
//! replaced, at several sizes. The slopes of docs/CAPACITY.md come from here.

mod document;
mod in_force;
mod reading;
mod requests;
mod takeover;

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::caller::Call;
use crate::cluster::Cluster;
use crate::layout::{DataCentreLayout, EngineLayout, Layout, MODEL};
use crate::stand_in::Result;

use document::Sizes;
use in_force::Spread;
pub use reading::{Control, control};
use reading::{Cost, Reading, StoreCost};
use requests::Requests;
use takeover::Takeover;

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
    /// Engines in each data centre.
    #[arg(long, default_value_t = 1)]
    engines: usize,
    /// Keyed requests answered before the idle cluster is watched.
    #[arg(long, default_value_t = 0)]
    keys: usize,
    /// Publications whose spread is timed.
    #[arg(long, default_value_t = 5)]
    publications: usize,
    /// Requests without a key whose cost is measured.
    #[arg(long, default_value_t = 0)]
    requests: usize,
    /// Rules in the configuration.
    #[arg(long, default_value_t = 0)]
    rules: usize,
    /// Seconds for which the idle cluster is watched.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seconds for members to meet and for what the start cost to be over.
    #[arg(long, default_value_t = 5)]
    settle: u64,
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
    engines: usize,
    keyed_requests: Option<Requests>,
    publications: Option<Spread>,
    requests: Option<Requests>,
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
    let layout = layout(daemons, args);
    let mut cluster = Cluster::start_with(layout, |document| sizes.grow(document)).await?;
    let settle = Duration::from_secs(args.settle);
    monoio::time::sleep(settle).await;
    let window = Duration::from_secs(args.seconds);
    let (mut idle, mut store) = watch_idle(&cluster, window).await?;
    let keyed_requests = requests::measure(&cluster, args.keys, true, &idle).await?;
    let requests = requests::measure(&cluster, args.requests, false, &idle).await?;
    if keyed_requests.is_some() || requests.is_some() {
        // Now there is a dispatcher, which reads its targets' reports, and records of keys.
        monoio::time::sleep(settle).await;
        (idle, store) = watch_idle(&cluster, window).await?;
    }
    let publications = in_force::measure(&cluster, args.publications, &idle).await?;
    let takeovers = takeover::measure(&mut cluster, args.takeovers).await?;
    Ok(Point {
        customers: args.customers,
        daemons: cluster.daemons.len(),
        data_centres: args.data_centres,
        engines: args.engines,
        idle,
        keyed_requests,
        publications,
        requests,
        rules: args.rules,
        store,
        takeovers,
        targets: args.targets,
    })
}

fn layout(daemons: usize, args: &Args) -> Layout {
    let data_centres = args.data_centres;
    let mut layout = Layout::one_data_centre(daemons, Vec::new());
    let data_centre = |i: usize| DataCentreLayout {
        daemons: (daemons + i) / data_centres,
        engines: vec![EngineLayout::default(); args.engines],
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
