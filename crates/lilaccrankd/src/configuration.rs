//! Keeps this daemon's configuration up to date: thin form, a watch of one object.

use std::rc::Rc;
use std::time::Duration;

use lilaccrank::document::Document;
use lilaccrank::store::Store;

use crate::daemon::Daemon;

/// Key of the thin form's configuration.
const CONFIGURATION: &str = "configuration/thin";
/// Longest wait of one watch.
const WAIT: Duration = Duration::from_secs(5);
/// Wait after a failed one.
const RETRY: Duration = Duration::from_millis(500);

/// Watches for as long as the daemon runs.
pub async fn watch(daemon: Rc<Daemon>) {
    let mut seen = None;
    loop {
        match daemon.store.watch(CONFIGURATION, seen, WAIT).await {
            Ok(Some(found)) if Some(found.version) != seen => {
                seen = Some(found.version);
                match serde_json::from_slice::<Document>(&found.value) {
                    Ok(document) => daemon.adopt(found.version, Rc::new(document)),
                    Err(e) => log::error!("the configuration can't be read: {e}"),
                }
            }
            Ok(_) => {}
            Err(e) => {
                log::warn!("the store can't be watched: {e}");
                monoio::time::sleep(RETRY).await;
            }
        }
    }
}
