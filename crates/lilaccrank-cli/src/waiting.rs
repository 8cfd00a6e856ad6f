//! Progress on standard error while a command waits.

use std::time::Duration;

use indicatif::ProgressBar;

/// Time between two turns of the sign that the command is alive.
const TURN: Duration = Duration::from_millis(100);

/// Shown until it is dropped; nothing is shown if standard error is no terminal.
pub struct Waiting {
    bar: ProgressBar,
}

impl Waiting {
    /// Shows what is waited for.
    pub fn show(message: String) -> Self {
        let bar = ProgressBar::new_spinner();
        bar.enable_steady_tick(TURN);
        let waiting = Self { bar };
        waiting.update(message);
        waiting
    }

    /// Shows how far it is.
    pub fn update(&self, message: String) {
        self.bar.set_message(message);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}
