//! Calls of the lab itself to the processes of a cluster.

use std::time::Duration;

use lilaccrank_http::body;
use lilaccrank_http::client::Limits;
use serde_json::Value;

use crate::layout::Layout;
use crate::stand_in::Result;

use super::Cluster;

impl Cluster {
    /// Reads a resource as the operator; status and body.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn get(&self, address: &str, path: &str) -> Result<(u16, String)> {
        let bearer = Layout::operator_key();
        self.exchange(&bearer, address, hyper::Method::GET, path, String::new())
            .await
    }

    /// Posts JSON, such as a fault to a stand-in's `/control`.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn post(&self, address: &str, path: &str, json: &Value) -> Result<(u16, String)> {
        self.post_as(&Layout::operator_key(), address, path, json)
            .await
    }

    /// Puts JSON, such as a vm on the platform's list.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn put(&self, address: &str, path: &str, json: &Value) -> Result<(u16, String)> {
        let (bearer, text) = (Layout::operator_key(), json.to_string());
        self.exchange(&bearer, address, hyper::Method::PUT, path, text)
            .await
    }

    /// Posts JSON with a bearer key.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn post_as(
        &self,
        bearer: &str,
        address: &str,
        path: &str,
        json: &Value,
    ) -> Result<(u16, String)> {
        self.exchange(bearer, address, hyper::Method::POST, path, json.to_string())
            .await
    }

    /// Sends a request as the operator; status and body.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn send(
        &self,
        address: &str,
        method: hyper::Method,
        path: &str,
        text: String,
    ) -> Result<(u16, String)> {
        let bearer = Layout::operator_key();
        self.exchange(&bearer, address, method, path, text).await
    }

    async fn exchange(
        &self,
        bearer: &str,
        address: &str,
        method: hyper::Method,
        path: &str,
        text: String,
    ) -> Result<(u16, String)> {
        let mut req = hyper::Request::new(body::full(text));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().unwrap_or_default();
        let headers = req.headers_mut();
        headers.insert(
            hyper::header::HOST,
            hyper::header::HeaderValue::from_static("lab"),
        );
        if let Ok(bearer) = format!("Bearer {bearer}").parse() {
            headers.insert(hyper::header::AUTHORIZATION, bearer);
        }
        let limits = Limits {
            connect: Duration::from_secs(1),
            max_idle: Duration::ZERO,
            head: Duration::from_secs(10),
        };
        let sent = self.client.send(address, req, limits).await;
        let (res, _connection) = sent.map_err(std::io::Error::other)?;
        let status = res.status().as_u16();
        let bytes = body::read(res.into_body(), 64 << 20).await;
        let bytes = bytes.map_err(std::io::Error::other)?;
        Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// What a target says it began: the judge of "at most once".
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn begun(&self, address: &str) -> Result<Vec<Value>> {
        let (_, text) = self.get(address, "/log").await?;
        Ok(serde_json::from_str(&text)?)
    }
}
