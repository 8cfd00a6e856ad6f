//! Ports of the daemon to its environment. Each has a native adapter and may have others.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use crate::callers::native_protocol::NativeProtocol;
use crate::callers::protocol::CallerProtocol;
use crate::configuration::native_source::NativeSource;
use crate::configuration::source::Source;
use crate::objects::{NativeObjects, Objects};
use crate::rollouts::recorder::{NoRollouts, RolloutStore};
use crate::settings::{self, Settings};
use crate::targets::native_protocol::NativeTargetProtocol;
use crate::targets::protocol::TargetProtocol;

/// The adapters of one daemon.
#[derive(Clone)]
pub struct Ports {
    /// Protocol of callers.
    pub callers: Rc<dyn CallerProtocol>,
    /// Small objects that all daemons share.
    pub objects: Rc<dyn Objects>,
    /// Records of roll-outs.
    pub rollouts: Rc<dyn RolloutStore>,
    /// Reads the settings file.
    pub settings: fn(&Path) -> settings::Result<Settings>,
    /// Path of the settings file, if any.
    pub settings_file: Option<PathBuf>,
    /// Source of configurations and of the list of targets.
    pub source: Rc<dyn Source>,
    /// Protocol of targets that requests are forwarded to.
    pub targets: Rc<dyn TargetProtocol>,
}

impl Default for Ports {
    /// The native adapters.
    fn default() -> Self {
        Self {
            callers: Rc::new(NativeProtocol),
            objects: Rc::new(NativeObjects),
            rollouts: Rc::new(NoRollouts),
            settings: Settings::read,
            settings_file: None,
            source: Rc::new(NativeSource),
            targets: Rc::new(NativeTargetProtocol),
        }
    }
}
