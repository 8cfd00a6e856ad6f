//! What a daemon speaks with the world around it. Each port has the product's own adapter, and may
//! have others.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use crate::callers::native_protocol::NativeProtocol;
use crate::callers::protocol::CallerProtocol;
use crate::configuration::own_source::OwnSource;
use crate::configuration::source::Source;
use crate::objects::{Objects, OwnObjects};
use crate::settings::{self, Settings};
use crate::targets::native_protocol::NativeTargetProtocol;
use crate::targets::protocol::TargetProtocol;

/// The adapters of one daemon.
#[derive(Clone)]
pub struct Ports {
    /// What callers speak.
    pub callers: Rc<dyn CallerProtocol>,
    /// Objects that all daemons share.
    pub objects: Rc<dyn Objects>,
    /// How the settings file is read.
    pub settings: fn(&Path) -> settings::Result<Settings>,
    /// The settings file, if there is one.
    pub settings_file: Option<PathBuf>,
    /// Where configurations and the list of targets come from.
    pub source: Rc<dyn Source>,
    /// What targets to which requests are passed on speak.
    pub targets: Rc<dyn TargetProtocol>,
}

impl Default for Ports {
    /// The product's own.
    fn default() -> Self {
        Self {
            callers: Rc::new(NativeProtocol),
            objects: Rc::new(OwnObjects),
            settings: Settings::read,
            settings_file: None,
            source: Rc::new(OwnSource),
            targets: Rc::new(NativeTargetProtocol),
        }
    }
}
