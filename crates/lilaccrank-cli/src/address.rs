//! Where a daemon is, as given on the command line.

use std::str::FromStr;

use derive_more::Display;
use thiserror::Error;

/// Result of reading an address.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a text is no address.
#[derive(Debug, Error)]
pub enum Error {
    /// It has no port.
    #[error("give a port, as in http://127.0.0.1:7401")]
    NoPort,
    /// It is of another protocol.
    #[error("daemons speak plain HTTP: http://IP:PORT")]
    Scheme,
}

/// Host and port.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct Address(String);

impl Address {
    /// As the HTTP client takes it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Address {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let rest = match text.split_once("://") {
            Some(("http", rest)) => rest,
            Some(_) => return Err(Error::Scheme),
            None => text,
        };
        let rest = rest.trim_end_matches('/');
        let port = rest.rsplit_once(':').map(|(_, port)| port.parse::<u16>());
        match port {
            Some(Ok(_)) => Ok(Self(rest.to_owned())),
            _ => Err(Error::NoPort),
        }
    }
}

impl From<std::net::SocketAddr> for Address {
    fn from(address: std::net::SocketAddr) -> Self {
        Self(address.to_string())
    }
}
