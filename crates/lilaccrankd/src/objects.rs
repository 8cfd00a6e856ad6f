//! The port to small objects in the platform's store that all daemons share.

use std::rc::Rc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use lilaccrank::store::{Expect, Result, Store, Versioned};

use crate::daemon::Daemon;

/// Reads and writes objects; each holds JSON.
pub trait Objects {
    /// Reads an object; `None` if it does not exist.
    fn read(
        &self,
        daemon: &Rc<Daemon>,
        key: &'static str,
    ) -> LocalBoxFuture<'static, Result<Option<Versioned>>>;

    /// Writes an object if `expect` holds.
    fn write(
        &self,
        daemon: &Rc<Daemon>,
        key: &'static str,
        value: Bytes,
        expect: Expect,
    ) -> LocalBoxFuture<'static, Result<()>>;
}

/// The product's own objects.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeObjects;

impl Objects for NativeObjects {
    fn read(
        &self,
        daemon: &Rc<Daemon>,
        key: &'static str,
    ) -> LocalBoxFuture<'static, Result<Option<Versioned>>> {
        let store = daemon.store.clone();
        async move { store.get(key).await }.boxed_local()
    }

    fn write(
        &self,
        daemon: &Rc<Daemon>,
        key: &'static str,
        value: Bytes,
        expect: Expect,
    ) -> LocalBoxFuture<'static, Result<()>> {
        let store = daemon.store.clone();
        async move { store.put(key, value, expect).await.map(drop) }.boxed_local()
    }
}
