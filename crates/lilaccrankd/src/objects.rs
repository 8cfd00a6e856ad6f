//! Port for small shared objects in the platform's store.

use std::rc::Rc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use lilaccrank::store::{Expect, Result, Store, Versioned};

use crate::daemon::Daemon;

/// Reads and writes shared JSON objects.
pub trait Objects {
    /// Reads an object; `None` if it does not exist.
    fn read(
        &self,
        daemon: &Rc<Daemon>,
        key: &'static str,
    ) -> LocalBoxFuture<'static, Result<Option<Versioned>>>;

    /// Writes an object if its current state satisfies `expect`.
    fn write(
        &self,
        daemon: &Rc<Daemon>,
        key: &'static str,
        value: Bytes,
        expect: Expect,
    ) -> LocalBoxFuture<'static, Result<()>>;
}

/// Objects kept directly in the platform's store.
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
