//! Publishing, for all subcommands that change the configuration.

use std::time::{Duration, Instant};

use lilaccrank::configuration::manifest::Identity;
use lilaccrank::document::Document;
use lilaccrank::operators::{ConfigurationView, PublishRequest, Published, path};

use crate::context::Context;
use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::rules::file;
use crate::waiting::Waiting;

/// Time between two looks at all daemons.
const LOOK_AGAIN: Duration = Duration::from_millis(200);

/// Options of every subcommand that publishes.
#[derive(clap::Args)]
pub struct Options {
    /// Name of the publication, to learn the outcome of an earlier attempt; random if not given.
    #[arg(long)]
    id: Option<String>,
    /// Wait until every live daemon has it in force, and name those that have not.
    #[arg(long)]
    wait: bool,
    /// Longest wait in seconds.
    #[arg(default_value_t = 30, long, value_name = "SECONDS")]
    wait_limit: u64,
}

/// What is in force now.
///
/// # Errors
///
/// If no daemon tells.
pub async fn in_force(fleet: &Fleet<'_>) -> Result<ConfigurationView> {
    fleet.get(path::CONFIGURATION).await
}

impl Options {
    /// Publishes `document` over `base`, tells its name, and waits if asked.
    ///
    /// # Errors
    ///
    /// If it is not accepted, or not in force everywhere within the wait.
    pub async fn publish(
        &self,
        cx: &Context,
        fleet: &Fleet<'_>,
        base: Identity,
        document: &Document,
    ) -> Result<()> {
        let published = self.send(cx, fleet, base, document).await?;
        self.tell(cx, fleet, published).await
    }

    /// Publishes `document` over `base`.
    ///
    /// # Errors
    ///
    /// If it is not accepted.
    pub async fn send(
        &self,
        cx: &Context,
        fleet: &Fleet<'_>,
        base: Identity,
        document: &Document,
    ) -> Result<Published> {
        for warning in file::sound("the document", document)? {
            cx.output.remark(&warning.to_string());
        }
        let id = self.id.clone().unwrap_or_else(random_id);
        let req = PublishRequest {
            base,
            document: serde_json::to_value(document).map_err(std::io::Error::from)?,
            id: id.clone(),
        };
        // The id makes it safe to send the same again to another daemon: a publication whose
        // answer was lost is found by it and not published twice.
        let sending = fleet.post(path::CONFIGURATION, &req).await;
        sending.map_err(|cause| match cause.exit_code() {
            6 => Error::Outcome {
                cause: Box::new(cause),
                id,
            },
            _ => cause,
        })
    }

    /// Tells the name of what was published, and waits if asked.
    ///
    /// # Errors
    ///
    /// If it is not in force everywhere within the wait.
    pub async fn tell(&self, cx: &Context, fleet: &Fleet<'_>, published: Published) -> Result<()> {
        if self.wait {
            self.wait(fleet, &published.identity).await?;
        }
        cx.output.print(&published, |published| {
            let mut lines = vec![format!("published {}", published.identity)];
            if !self.wait && !published.unresponsive.is_empty() {
                let names = published.unresponsive.join(", ");
                lines.push(format!("not heard from: {names}"));
            }
            lines
        })
    }

    async fn wait(&self, fleet: &Fleet<'_>, published: &Identity) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(self.wait_limit);
        let waiting = Waiting::show(format!("{published} is accepted"));
        loop {
            let lacking = fleet.survey().await?.lacking(published);
            if lacking.is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(Error::NotEverywhere { lacking });
            }
            waiting.update(format!("{} daemons lack {published}", lacking.len()));
            monoio::time::sleep(LOOK_AGAIN).await;
        }
    }
}

fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
