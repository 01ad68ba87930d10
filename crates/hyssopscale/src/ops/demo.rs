//! `hyssopctl demo`: nodes and stand-ins in one process, real sockets, real requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use comfy_table::Table;
use hyper::Request;
use node::Node;
use platform::{Member, Role, State};
use serde_json::{Value, json};
use settings::Settings;
use standin::site::{self, Site};
use tokio::sync::watch;

use super::{Error, pack};
use crate::client;

/// The settings that the demonstration's nodes start from.
const SETTINGS: &str = include_str!("../../../../examples/queensland.toml");

/// The rules that they serve by.
const RULES: &str = include_str!("../../../../examples/queensland.rules");

/// Nodes of the demonstration; fewer are no quorum of witnesses.
const NODES: usize = 7;

/// Availability zones, over which nodes and upstreams are spread.
const ZONES: [&str; 3] = ["stanthorpe", "warwick", "toowoomba"];

/// Time within which all nodes must be ready.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at the nodes.
const START_STEP: Duration = Duration::from_millis(50);

/// Decision lines a second that the demonstration shows at most.
const LINES_PER_SECOND: u32 = 1000;

/// Key prefix of the example settings.
const PREFIX: &str = "hyssopscale/";

/// Runs the demonstration and prints what was decided, with the nodes' own lines if `log`.
///
/// # Errors
///
/// Returns an [`Error`] where a part does not start or a request has no proper answer.
pub async fn run(log: bool, output: super::Output) -> Result<(), Error> {
    if log {
        node::journal::install(
            settings::Form::Text,
            log::LevelFilter::Debug,
            LINES_PER_SECOND,
        )?;
    }
    let site = Site::start(site_config()).await?;
    for value in pack::values(
        PREFIX,
        1,
        [("queensland.rules".to_owned(), RULES.to_owned())],
    )? {
        site.platform.state().publish(value.key, value.body, None);
    }
    let mut nodes = Vec::new();
    for index in 0..NODES {
        nodes.push(start_node(&site, index).await?);
    }
    wait_ready(&nodes).await?;
    let entry = nodes[0].addresses().callers;
    let requests = requests(entry).await?;
    let calls = calls(entry, nodes[1].addresses().callers).await?;
    match output {
        super::Output::Json => {
            let document =
                json!({ "requests": super::rows(&requests), "calls": super::rows(&calls) });
            println!("{document}");
        }
        super::Output::Table => println!("{requests}\n{calls}"),
    }
    let operators = nodes.iter().map(|node| node.addresses().operators);
    super::status::run(operators, output).await?;
    stop(nodes).await;
    Ok(())
}

fn site_config() -> site::Config {
    site::Config {
        region: "qld-south".to_owned(),
        zones: ZONES.map(str::to_owned).to_vec(),
        engine_pool: "advice".to_owned(),
        service_pool: "lending-desk".to_owned(),
        ..site::Config::default()
    }
}

async fn start_node(site: &Site, index: usize) -> Result<Node, Error> {
    let zone = ZONES[index % ZONES.len()];
    let vm = format!("qld-vm-{}", index + 1);
    let overrides = [
        ("vm.id", vm.clone()),
        ("vm.zone", zone.to_owned()),
        ("listen.callers", "127.0.0.1:0".to_owned()),
        ("listen.peers", "127.0.0.1:0".to_owned()),
        ("listen.operators", "127.0.0.1:0".to_owned()),
        ("platform.addresses", site.platform.address().to_string()),
        ("platform.poll", "200ms".to_owned()),
        ("time.address_ttl", "1s".to_owned()),
        ("trust.caller_header", "true".to_owned()),
    ];
    let overrides = overrides.map(|(key, value)| (key.to_owned(), value));
    let node = Node::start(Settings::parse_with(SETTINGS, overrides)?).await?;
    let addresses = node.addresses();
    site.platform.state().merge_members([Member {
        vm: vm.into(),
        role: Role::Entry {
            callers: addresses.callers,
            peers: addresses.peers,
        },
        region: "qld-south".into(),
        zone: zone.into(),
        state: State::Live,
    }]);
    Ok(node)
}

async fn wait_ready(nodes: &[Node]) -> Result<(), Error> {
    let limit = Instant::now() + START_LIMIT;
    while Instant::now() < limit {
        let mut ready = true;
        for node in nodes {
            let status = node.core().status().await;
            ready &= node.ready() && status.is_some_and(|status| status.claims_ready);
        }
        if ready {
            return Ok(());
        }
        tokio::time::sleep(START_STEP).await;
    }
    let mut known = Vec::new();
    for node in nodes {
        known.extend(node.core().status().await);
    }
    let known = serde_json::to_string(&known).unwrap_or_default();
    Err(Error::Found(format!(
        "the nodes were not ready within {START_LIMIT:?}: {known}"
    )))
}

/// Completions of three callers; the second request for a model finds it loaded.
async fn requests(entry: SocketAddr) -> Result<Table, Error> {
    let mut table = super::table();
    table.set_header(["caller", "model", "answer", "first 24 characters", "time"]);
    for (caller, model, priority) in [
        ("hikers", "auto", "normal"),
        ("hikers", "auto", "normal"),
        ("crews", "fitting-crew@v1", "urgent"),
        ("crews", "fitting-crew@v1", "urgent"),
        ("hikers", "no-such-adapter@v1", "normal"),
    ] {
        let body = json!({ "model": model, "prompt": "icy path, size 42", "max_tokens": 16 });
        let request = Request::post("/v1/completions")
            .header("x-caller", caller)
            .header("x-priority", priority);
        let begun = Instant::now();
        let answer = client::send(entry, request, body.to_string()).await?;
        let document: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let text = document["choices"][0]["text"]
            .as_str()
            .or(document["detail"].as_str());
        let text: String = text.unwrap_or("").chars().take(24).collect();
        let ran = document["model"].as_str().unwrap_or(model).to_owned();
        table.add_row([
            caller.to_owned(),
            ran,
            answer.status.to_string(),
            text,
            format!("{:.0?}", begun.elapsed()),
        ]);
    }
    Ok(table)
}

/// A checkout sent twice under one key, to two nodes: it runs once, and the retry gets the first
/// answer.
async fn calls(first: SocketAddr, second: SocketAddr) -> Result<Table, Error> {
    let request = Request::get("/v1/addresses").header("x-caller", "depots");
    let addresses = client::send(first, request, "").await?;
    let document: Value = serde_json::from_slice(&addresses.body).unwrap_or(Value::Null);
    let prefix = document["key_prefix"].as_str().unwrap_or("").to_owned();
    let mut table = super::table();
    table.set_header(["call", "node", "answer", "replayed", "time"]);
    for node in [first, second] {
        let request = Request::post("/lending/checkouts")
            .header("x-caller", "depots")
            .header("idempotency-key", format!("{prefix}checkout-1"));
        let begun = Instant::now();
        let answer = client::send(node, request, "{\"cleats\":42}").await?;
        let replayed = answer.headers.get("x-replayed").is_some();
        table.add_row([
            "POST /lending/checkouts".to_owned(),
            node.to_string(),
            answer.status.to_string(),
            replayed.to_string(),
            format!("{:.0?}", begun.elapsed()),
        ]);
    }
    Ok(table)
}

async fn stop(nodes: Vec<Node>) {
    let (_keep, second) = watch::channel(false);
    let mut stopping = tokio::task::JoinSet::new();
    for node in nodes {
        stopping.spawn(node.shut_down(second.clone()));
    }
    while stopping.join_next().await.is_some() {}
}
