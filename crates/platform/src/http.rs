//! The platform over HTTP/1.1.
//!
//! `GET /v1/config/KEY` answers 200 with the body and an `x-revision` header, or 404.
//! `GET /v1/config/KEY?after=N&wait_ms=M` waits for a newer revision and answers 304 where none
//! came. `GET /v1/members` answers a JSON [`List`]. Reads are repeatable, so that the addresses
//! are tried in turn, beginning with the one that answered last.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::header::HOST;
use hyper::http::HeaderMap;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wire::Revision;

use crate::member::List;
use crate::source::{Error, Source, Value};

/// Largest configuration value in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// Largest VM list in bytes.
pub const MEMBERS_BYTES_MAX: usize = 8 << 20;

/// Largest response head in bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;

/// Time added to a watch's own wait before it counts as silent.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Name of the header that carries a value's revision.
pub const REVISION_HEADER: &str = "x-revision";

/// Time limits of a read.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// For the connection to one address.
    pub connect: Duration,
    /// For one address's whole answer, without a watch's own wait.
    pub answer: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            answer: Duration::from_secs(2),
        }
    }
}

/// A platform reached over HTTP at any of several addresses.
#[derive(Debug)]
pub struct Http {
    addresses: Vec<SocketAddr>,
    limits: Limits,
    preferred: AtomicUsize,
}

/// A whole answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// One question, asked alike at each address.
struct Query<'a> {
    path: &'a str,
    body_bytes_max: usize,
    answer: Duration,
}

impl Http {
    /// Names the platform's addresses, which are tried in turn.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>, limits: Limits) -> Self {
        Self {
            addresses: addresses.into_iter().collect(),
            limits,
            preferred: AtomicUsize::new(0),
        }
    }

    async fn ask(&self, query: &Query<'_>) -> Result<Answer, Error> {
        let count = self.addresses.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = self.unreachable("no address is set");
        for index in (0..count).map(|step| (first + step) % count) {
            match self.ask_one(self.addresses[index], query).await {
                Ok(answer) if !answer.status.is_server_error() => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(answer);
                }
                Ok(answer) => last = status(&answer, query.path),
                Err(error @ Error::Large { .. }) => return Err(error),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn ask_one(&self, address: SocketAddr, query: &Query<'_>) -> Result<Answer, Error> {
        let stream = timeout(self.limits.connect, TcpStream::connect(address))
            .await
            .map_err(|_| Error::Timeout(self.limits.connect))?
            .map_err(|error| self.unreachable(error))?;
        // A socket that takes no options is closed already.
        let _ = socket::apply(&stream, &socket::UPSTREAM);
        timeout(query.answer, self.exchange(address, stream, query))
            .await
            .map_err(|_| Error::Timeout(query.answer))?
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        query: &Query<'_>,
    ) -> Result<Answer, Error> {
        let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.unreachable(error))?;
        let request = Request::get(query.path)
            .header(HOST, address.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|error| malformed(query.path, error))?;
        let answer = async move {
            let response = sender
                .send_request(request)
                .await
                .map_err(|error| self.unreachable(error))?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, query.body_bytes_max)
                .collect()
                .await
                .map_err(|error| self.body_error(&*error, query))?
                .to_bytes();
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        // The connection is driven by the call itself, so that a dropped call closes it at once.
        let mut answer = std::pin::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => answer,
            _ = connection => answer.await,
        }
    }

    fn unreachable(&self, cause: impl ToString) -> Error {
        let tried: Vec<String> = self.addresses.iter().map(ToString::to_string).collect();
        Error::Unreachable {
            tried: tried.join(", "),
            cause: cause.to_string(),
        }
    }

    fn body_error(&self, error: &(dyn std::error::Error + 'static), query: &Query<'_>) -> Error {
        if error.is::<LengthLimitError>() {
            return Error::Large {
                path: query.path.to_owned(),
                limit: query.body_bytes_max,
            };
        }
        self.unreachable(error)
    }

    async fn value(&self, path: &str, answer: Duration) -> Result<Option<Value>, Error> {
        let query = Query {
            path,
            body_bytes_max: VALUE_BYTES_MAX,
            answer,
        };
        let answer = self.ask(&query).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(Value {
                revision: revision(&answer.headers, path)?,
                body: answer.body,
            })),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            _ => Err(status(&answer, path)),
        }
    }
}

impl Source for Http {
    async fn read(&self, key: &str) -> Result<Option<Value>, Error> {
        let path = format!("/v1/config/{key}");
        self.value(&path, self.limits.answer).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Value>, Error> {
        let path = format!(
            "/v1/config/{key}?after={after}&wait_ms={}",
            wait.as_millis()
        );
        let limit = wait + self.limits.answer.max(WATCH_SLACK);
        let value = self.value(&path, limit).await?;
        Ok(value.filter(|value| value.revision > after))
    }

    async fn members(&self) -> Result<List, Error> {
        let path = "/v1/members";
        let query = Query {
            path,
            body_bytes_max: MEMBERS_BYTES_MAX,
            answer: self.limits.answer,
        };
        let answer = self.ask(&query).await?;
        if answer.status != StatusCode::OK {
            return Err(status(&answer, path));
        }
        let mut list: List =
            serde_json::from_slice(&answer.body).map_err(|error| malformed(path, error))?;
        list.members.sort_by(|a, b| a.vm.cmp(&b.vm));
        Ok(list)
    }
}

fn revision(headers: &HeaderMap, path: &str) -> Result<Revision, Error> {
    headers
        .get(REVISION_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .ok_or_else(|| malformed(path, format!("no number in {REVISION_HEADER}")))
}

fn status(answer: &Answer, path: &str) -> Error {
    Error::Status {
        status: answer.status.as_u16(),
        path: path.to_owned(),
    }
}

fn malformed(path: &str, cause: impl ToString) -> Error {
    Error::Malformed {
        path: path.to_owned(),
        cause: cause.to_string(),
    }
}
