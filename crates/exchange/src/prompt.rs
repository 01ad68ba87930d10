//! Parts of prompts. Requests share parts, such as instructions and documents, and engines keep what
//! they have read of them.

use wire::rank;

/// Identifies a part of a prompt by its content.
pub type PartId = u64;

/// Maximum number of parts of one prompt that are told apart; further ones are ignored.
pub const PARTS_MAX: usize = 64;

/// Returns the identifier of the part that callers name `name`. Case and surrounding blanks are
/// ignored.
pub fn part_id(name: &str) -> PartId {
    rank::hash(name.trim().to_ascii_lowercase())
}

/// Returns the parts that other requests may have as well: each once, sorted, and without the last
/// part of the prompt, which belongs to its request or session. Empty names are ignored.
pub fn shared_parts<'a>(names: impl IntoIterator<Item = &'a str>) -> Vec<PartId> {
    let named = names.into_iter().filter(|name| !name.trim().is_empty());
    let mut parts: Vec<PartId> = named.map(part_id).collect();
    parts.pop();
    parts.truncate(PARTS_MAX);
    parts.sort_unstable();
    parts.dedup();
    parts
}
