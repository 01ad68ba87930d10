//! The texts that stand-ins answer with: functions of the request and nothing else.

use serde_json::json;
use wire::rank;

/// Returns the model that weights at `path` belong to: `ADAPTER@VERSION` for a path that ends in
/// `/ADAPTER/VERSION`, and the path itself where it has no two parts.
pub fn model(path: &str) -> String {
    let mut parts = path.trim_end_matches('/').rsplit('/');
    match (parts.next(), parts.next()) {
        (Some(version), Some(adapter)) if !adapter.is_empty() => format!("{adapter}@{version}"),
        _ => path.to_owned(),
    }
}

/// Returns the text of the token at `index` of `model`'s answer to `prompt`.
pub fn token(model: &str, prompt: &str, index: u64) -> String {
    let hash = rank::hash(format!("{model}\n{index}\n{prompt}"));
    format!("{:06x} ", hash >> 40)
}

/// Returns the whole text of an answer of `tokens` tokens.
pub fn text(model: &str, prompt: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|index| token(model, prompt, index))
        .collect()
}

/// Returns the body of a plain service's answer.
pub fn service(method: &str, path: &str, key: &str, body: &[u8]) -> String {
    let mut input = format!("{method}\n{path}\n{key}\n").into_bytes();
    input.extend_from_slice(body);
    let receipt = format!("{:016x}", rank::hash(input));
    json!({ "method": method, "path": path, "key": key, "receipt": receipt }).to_string()
}
