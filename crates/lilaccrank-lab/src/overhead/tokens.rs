//! Times tokens through the daemon and straight from the engine, in turn.

use std::io;
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;
use hdrhistogram::Histogram;
use http_body_util::BodyDataStream;
use lilaccrank_http::client::Limits;
use serde::Serialize;

use crate::caller::{self, Call};
use crate::cluster::Cluster;
use crate::layout::{Layout, MODEL};
use crate::stand_in::Result;

/// Tokens of each stream.
const TOKENS: usize = 20;
/// Streams before the first one that counts.
const WARM_UP: usize = 5;

/// Milliseconds of both ways.
#[derive(Serialize)]
pub(super) struct Tokens {
    daemon: Way,
    direct: Way,
    streams: usize,
}

#[derive(Serialize)]
struct Way {
    between_tokens_ms: Quantiles,
    first_token_ms: Quantiles,
}

#[derive(Serialize)]
struct Quantiles {
    p50: f64,
    p99: f64,
}

/// Microseconds.
struct Times {
    between: Histogram<u64>,
    first: Histogram<u64>,
}

/// Sends `streams` requests each way, one at a time, so that the engine is idle before each.
pub(super) async fn measure(cluster: &Cluster, streams: usize) -> Result<Tokens> {
    let direct = cluster.engines.values().next();
    let direct = direct.ok_or_else(|| io::Error::other("no engine"))?;
    let direct = direct.address.clone();
    let daemon = cluster.daemons[0].callers.to_string();
    let mut through = Times::new()?;
    let mut straight = Times::new()?;
    for i in 0..WARM_UP + streams {
        if i == WARM_UP {
            through = Times::new()?;
            straight = Times::new()?;
        }
        straight.add(cluster, &direct, i * 2).await?;
        through.add(cluster, &daemon, i * 2 + 1).await?;
    }
    Ok(Tokens {
        daemon: through.way(),
        direct: straight.way(),
        streams,
    })
}

impl Times {
    fn new() -> Result<Self> {
        let histogram = || Histogram::new(3).map_err(io::Error::other);
        Ok(Self {
            between: histogram()?,
            first: histogram()?,
        })
    }

    async fn add(&mut self, cluster: &Cluster, address: &str, i: usize) -> Result<()> {
        let call = Call {
            bearer: Layout::customer_key("hospital"),
            max_tokens: TOKENS,
            model: MODEL.to_owned(),
            prompt: format!("job card {i}"),
            stream: true,
            ..Call::default()
        };
        let limits = Limits {
            connect: Duration::from_secs(1),
            max_idle: Duration::ZERO,
            head: Duration::from_secs(10),
        };
        let begun = Instant::now();
        let sent = cluster.client.send(address, caller::request(&call), limits);
        let (res, _connection) = sent.await.map_err(io::Error::other)?;
        let mut events = BodyDataStream::new(res.into_body()).eventsource();
        let mut tokens = 0;
        let mut last = begun;
        while let Some(event) = events.next().await {
            let event = event.map_err(io::Error::other)?;
            if event.data == caller::DONE {
                break;
            }
            let now = Instant::now();
            let times = if tokens == 0 {
                &mut self.first
            } else {
                &mut self.between
            };
            let recorded = times.record((now - last).as_micros() as u64);
            recorded.map_err(io::Error::other)?;
            last = now;
            tokens += 1;
        }
        if tokens < TOKENS {
            let why = format!("{tokens} tokens from {address}");
            return Err(io::Error::other(why));
        }
        Ok(())
    }

    fn way(&self) -> Way {
        Way {
            between_tokens_ms: quantiles(&self.between),
            first_token_ms: quantiles(&self.first),
        }
    }
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Quantiles {
        p50: ms(0.5),
        p99: ms(0.99),
    }
}
