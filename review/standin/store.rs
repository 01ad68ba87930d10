//! The platform's store, as far as nodes read it: ranges and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, respond};

struct Event {
    rev: u64,
    key: String,
    value: Option<String>,
}

struct State {
    rev: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    log: Vec<Event>,
}

pub struct Store {
    state: Mutex<State>,
    news: Condvar,
}

impl Store {
    pub fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let state = State {
            rev: 100,
            items: BTreeMap::new(),
            log: Vec::new(),
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            news: Condvar::new(),
        });
        let listener = TcpListener::bind("127.0.2.1:0")?;
        let address = listener.local_addr()?;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("unpoisoned");
        let value = base64(value.as_bytes());
        if state
            .items
            .get(key)
            .is_some_and(|(known, _, _)| *known == value)
        {
            return;
        }
        state.rev += 1;
        let rev = state.rev;
        let created = state.items.get(key).map_or(rev, |(_, _, created)| *created);
        state
            .items
            .insert(key.to_owned(), (value.clone(), rev, created));
        state.log.push(Event {
            rev,
            key: key.to_owned(),
            value: Some(value),
        });
        self.news.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("unpoisoned");
        if state.items.remove(key).is_some() {
            state.rev += 1;
            let rev = state.rev;
            state.log.push(Event {
                rev,
                key: key.to_owned(),
                value: None,
            });
            self.news.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = match request.route() {
                "/kv-range" => (200, self.range(&request)),
                "/kv-watch" => (200, self.watch(&request)),
                _ => (404, "{}".to_owned()),
            };
            let kind = [("Content-Type", "application/json")];
            if respond(&mut writer, status, &kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, request: &Request) -> String {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().expect("unpoisoned");
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, (value, rev, created))| item(key, value, *rev, *created))
            .collect();
        let (items, rev) = (items.join(","), state.rev);
        format!("{{\"items\":[{items}],\"truncated\":false,\"current_rev\":{rev}}}")
    }

    fn watch(&self, request: &Request) -> String {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().expect("unpoisoned");
        loop {
            let new = state.log.iter().filter(|event| event.rev > after);
            let new = new.filter(|event| event.key.starts_with(&prefix));
            let events: Vec<String> = new
                .map(|event| match &event.value {
                    Some(value) => item(&event.key, value, event.rev, event.rev),
                    None => format!(
                        "{{\"key\":\"{}\",\"rev\":{},\"deleted\":true}}",
                        event.key, event.rev
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, rev) = (events.join(","), state.rev);
                return format!("{{\"events\":[{events}],\"current_rev\":{rev}}}");
            }
            state = self.news.wait_timeout(state, left).expect("unpoisoned").0;
        }
    }
}

fn item(key: &str, value: &str, rev: u64, created: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"create_rev\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for index in 0..4 {
            if index <= part.len() {
                text.push(char::from(SIGNS[(word >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
