//! Asks several nodes the same, side by side.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Request;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use super::Error;
use crate::client;

/// Time limit for one node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What nodes answered.
#[derive(Debug)]
pub struct Answers<T> {
    /// The nodes that answered, in the order asked.
    pub known: Vec<(SocketAddr, T)>,
    /// One line for each node that did not.
    pub failures: Vec<String>,
}

/// Asks each of `nodes`, by their operators' addresses, for the JSON document at `path`.
pub async fn ask<T>(nodes: &[SocketAddr], path: &str) -> Answers<T>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut asking = JoinSet::new();
    for (index, node) in nodes.iter().copied().enumerate() {
        let path = path.to_owned();
        asking.spawn(async move { (index, node, fetch(node, &path).await) });
    }
    let mut all = asking.join_all().await;
    all.sort_by_key(|(index, ..)| *index);
    let mut answers = Answers {
        known: Vec::new(),
        failures: Vec::new(),
    };
    for (_, node, result) in all {
        match result {
            Ok(document) => answers.known.push((node, document)),
            Err(error) => answers.failures.push(format!("{node}: {error}")),
        }
    }
    answers
}

/// Asks one node.
///
/// # Errors
///
/// Returns an [`Error`] where it gives no answer, refuses, or answers with another document.
pub async fn fetch<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, Error> {
    let asked = client::send(node, Request::get(path), "");
    let Ok(answer) = tokio::time::timeout(ANSWER_TIMEOUT, asked).await else {
        return Err(Error::Silent(node));
    };
    let answer = answer?;
    if !answer.status.is_success() {
        return Err(Error::Refused(answer.text()));
    }
    serde_json::from_slice(&answer.body).map_err(|_| Error::Foreign(node))
}

impl<T> Answers<T> {
    /// Returns the answers without their nodes.
    pub fn documents(&self) -> Vec<&T> {
        self.known.iter().map(|(_, document)| document).collect()
    }

    /// Returns an error that names the nodes which did not answer, if any.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Found`] with a line for each such node.
    pub fn complete(&self) -> Result<(), Error> {
        if self.failures.is_empty() {
            Ok(())
        } else {
            Err(Error::Found(self.failures.join("\n")))
        }
    }
}
