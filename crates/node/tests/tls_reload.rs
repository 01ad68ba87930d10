//! Callers are served by the certificate in the files; one that cannot be used changes nothing.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};
use node::front::listener::{Handler, Limit, serve};
use node::front::tls::{Error, Tls, watch as watch_files};
use node::front::{Body, Caller};
use rstest::rstest;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{ClientConfig, RootCertStore, crypto::ring};

const NAME: &str = "entry.test";
const SOON: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct Hello;

impl Handler for Hello {
    async fn handle(&self, _: Request<Incoming>, _: Caller) -> Response<Body> {
        Response::new(Body::full("hello"))
    }
}

struct Files {
    folder: TempDir,
}

/// A certificate with its key; callers trust the certificate itself.
struct Pair {
    certificate: String,
    key: String,
    root: CertificateDer<'static>,
}

fn pair() -> Pair {
    let made = rcgen::generate_simple_self_signed([NAME.to_owned()]).unwrap();
    Pair {
        certificate: made.cert.pem(),
        key: made.signing_key.serialize_pem(),
        root: made.cert.der().clone(),
    }
}

impl Files {
    fn new(pair: &Pair) -> Self {
        let files = Self {
            folder: tempfile::tempdir().unwrap(),
        };
        files.write(&pair.certificate, &pair.key);
        files
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, certificate: &str, key: &str) {
        std::fs::write(self.path("certificate.pem"), certificate).unwrap();
        std::fs::write(self.path("key.pem"), key).unwrap();
    }

    fn settings(&self) -> settings::Tls {
        settings::Tls {
            certificate: self.path("certificate.pem"),
            key: self.path("key.pem"),
        }
    }
}

async fn listen(tls: &Arc<Tls>) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limit = Limit {
        connections: 4,
        header_bytes: 8192,
        header_time: Duration::from_millis(300),
    };
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, limit, Hello, Some(tls.clone()), stopped));
    (address, stop)
}

/// Asks over TLS and returns the answer, or `None` where the certificate is not `root`.
async fn ask(address: SocketAddr, root: &CertificateDer<'static>) -> Option<String> {
    let mut roots = RootCertStore::empty();
    roots.add(root.clone()).unwrap();
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(address).await.unwrap();
    let name = ServerName::try_from(NAME).unwrap();
    let mut stream = TlsConnector::from(Arc::new(config))
        .connect(name, stream)
        .await
        .ok()?;
    let request = b"GET / HTTP/1.1\r\nhost: entry.test\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    Some(answer)
}

async fn served(address: SocketAddr, root: &CertificateDer<'static>) -> bool {
    ask(address, root)
        .await
        .is_some_and(|answer| answer.starts_with("HTTP/1.1 200") && answer.ends_with("hello"))
}

#[tokio::test]
async fn changed_files_take_effect() {
    let (old, new) = (pair(), pair());
    let files = Files::new(&old);
    let tls = Arc::new(Tls::open(files.settings()).unwrap());
    let (address, _stop) = listen(&tls).await;
    assert!(served(address, &old.root).await);
    assert!(!served(address, &new.root).await);
    tokio::spawn(watch_files(tls.clone(), Duration::from_millis(10)));
    files.write(&new.certificate, &new.key);
    let limit = Instant::now() + SOON;
    while !served(address, &new.root).await {
        assert!(
            Instant::now() < limit,
            "the new certificate is not in force"
        );
    }
    assert!(!served(address, &old.root).await);
}

#[rstest]
#[case::no_pem("no PEM at all", "nor here")]
#[case::empty("", "")]
#[case::foreign_key("CERTIFICATE", "OTHER KEY")]
#[case::half_replaced("OTHER CERTIFICATE", "KEY")]
#[case::swapped("KEY", "CERTIFICATE")]
#[tokio::test]
async fn unusable_files_change_nothing(#[case] certificate: &str, #[case] key: &str) {
    let (old, other) = (pair(), pair());
    let files = Files::new(&old);
    let tls = Arc::new(Tls::open(files.settings()).unwrap());
    let (address, _stop) = listen(&tls).await;
    let content = |name: &str| match name {
        "CERTIFICATE" => old.certificate.clone(),
        "KEY" => old.key.clone(),
        "OTHER CERTIFICATE" => other.certificate.clone(),
        "OTHER KEY" => other.key.clone(),
        text => text.to_owned(),
    };
    files.write(&content(certificate), &content(key));
    assert!(tls.reload().is_err());
    assert!(matches!(tls.reload(), Ok(false)), "reported once a change");
    assert!(served(address, &old.root).await);
    assert!(Tls::open(files.settings()).is_err(), "no start with them");
    // The missing half arrives.
    files.write(&other.certificate, &other.key);
    assert!(matches!(tls.reload(), Ok(true)));
    assert!(served(address, &other.root).await);
    // The files vanish for a while.
    std::fs::remove_file(files.path("key.pem")).unwrap();
    assert!(matches!(tls.reload(), Err(Error::File { .. })));
    assert!(served(address, &other.root).await);
}

#[tokio::test]
async fn callers_without_a_handshake_hold_no_place() {
    let pair = pair();
    let files = Files::new(&pair);
    let tls = Arc::new(Tls::open(files.settings()).unwrap());
    let (address, _stop) = listen(&tls).await;
    let mut silent = Vec::new();
    for _ in 0..4 {
        silent.push(TcpStream::connect(address).await.unwrap());
    }
    assert!(timeout(SOON, served(address, &pair.root)).await.unwrap());
    let mut plain = TcpStream::connect(address).await.unwrap();
    plain.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    let _ = timeout(SOON, plain.read_to_end(&mut answer)).await.unwrap();
    assert!(!answer.starts_with(b"HTTP"), "{answer:?}");
}
