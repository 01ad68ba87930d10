//! A service of model runners, and requests for adapters of its model.

use std::time::Duration;

use crate::clients::Kind;

/// Places for adapters at a runner.
pub const PLACES: usize = 8;

/// Adapters that are asked for.
const ADAPTERS: u64 = 60;

/// Megabytes of a runner for weights and adapters, and of the model.
const RUNNER_MB: u64 = 66_800;
const MODEL_MB: u64 = 65_100;

pub const ZONES: [&str; 3] = ["stanthorpe", "warwick", "toowoomba"];

/// Adapters of that size for which a runner has room beside its model.
pub fn room(adapter_mb: u64) -> usize {
    ((RUNNER_MB - MODEL_MB) / adapter_mb) as usize
}

/// The configuration of a site whose adapters have that size.
pub fn config(adapter_mb: u64) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r1","host":"depot.example","prefix":"/advice/","kind":"streaming",
"timeout_ms":12000,"target_latency_ms":800,"priority":1,"service":"advice-llm","max_attempts":2,"sticky":true,
"resumable":true,"gap_aim_ms":250}}],"services":[{{"name":"advice-llm","health_path":"/healthz","max_connections":360,
"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":169122,"kv_token_bytes":163840,"link_mbps":1100000.0,
"models":[{{"name":"m0","weights_mb":{MODEL_MB},"load_time_s":2.5,"adapters":3000,"adapter_mb":{adapter_mb}}}],
"weights_mb":{RUNNER_MB},"adapter_slots":{PLACES},"loads_per_s":2.8}}}}],"limits":{{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Requests for generations.
pub fn requests() -> Kind {
    Kind {
        host: "depot.example",
        path: "/advice/fit",
        deadline_ms: 12_000,
        pause: Duration::from_millis(20),
        further,
    }
}

/// Every other request is for one of four adapters, the rest for all in turn.
fn further(number: u64) -> Vec<(&'static str, String)> {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    let adapter = if mixed % 2 == 0 {
        mixed / 2 % 4 + 1
    } else {
        mixed / 2 % ADAPTERS + 1
    };
    vec![
        ("X-Model", format!("m0/a{adapter}")),
        ("X-Token-Usage", "200,30".to_owned()),
        ("X-Prompt-Prefix", "5c1e07a2:150".to_owned()),
    ]
}
