//! Port for small shared objects in the platform's store.

use std::rc::Rc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use lilaccrank::store::{Error, Expect, Result, Store, Versioned};
use lilaccrank::store_revision::Era;
use serde_json::Value;

use crate::daemon::Daemon;

/// Objects of one kind.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    /// Era of the store.
    pub era: Era,
    /// The objects.
    pub objects: Vec<ListedObject>,
}

/// An object of a list.
#[derive(Clone, Debug)]
pub struct ListedObject {
    /// Name within its kind.
    pub name: String,
    /// Content of the object.
    pub value: Value,
}

/// Reads and writes shared JSON objects.
pub trait Objects {
    /// Returns `true` if the objects of a kind can be listed.
    fn has_lists(&self) -> bool;

    /// Lists the objects of a kind.
    fn list(
        &self,
        daemon: &Rc<Daemon>,
        kind: &'static str,
    ) -> LocalBoxFuture<'static, Result<Listed>>;

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
        key: &str,
        value: Bytes,
        expect: Expect,
    ) -> LocalBoxFuture<'static, Result<()>>;
}

/// Objects kept directly in the platform's store.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeObjects;

impl Objects for NativeObjects {
    fn has_lists(&self) -> bool {
        false
    }

    fn list(&self, _: &Rc<Daemon>, _: &'static str) -> LocalBoxFuture<'static, Result<Listed>> {
        async { Err(Error::Unavailable) }.boxed_local()
    }

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
        key: &str,
        value: Bytes,
        expect: Expect,
    ) -> LocalBoxFuture<'static, Result<()>> {
        let (store, key) = (daemon.store.clone(), key.to_owned());
        async move { store.put(&key, value, expect).await.map(drop) }.boxed_local()
    }
}
