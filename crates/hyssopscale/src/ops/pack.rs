//! `hyssopctl pack`: turns rules files into values to publish at the platform.
//!
//! Each file becomes a part whose key holds the digest of its content, so that a part is never
//! changed in place. The manifest, published last, names the parts and so switches to all at once.

use std::fs;
use std::path::{Path, PathBuf};

use confsync::{Digest, Manifest};
use wire::Revision;

use super::{Error, Output, read, read_rules};

/// Hexadecimal digits of a digest in a part's key.
const KEY_DIGITS: usize = 12;

/// A value to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The platform's key.
    pub key: String,
    /// The content.
    pub body: String,
}

/// Returns the values that publish `files`, pairs of name and content: the parts, then the
/// manifest.
///
/// # Errors
///
/// Returns what is wrong with the revision's number or a part's size.
pub fn values(
    prefix: &str,
    revision: Revision,
    files: impl IntoIterator<Item = (String, String)>,
) -> Result<Vec<Value>, Error> {
    let part = |(name, body): (String, String)| {
        let digest = Digest::of(&body).to_string();
        Value {
            key: format!("{prefix}rules/{}/{name}", &digest[..KEY_DIGITS]),
            body,
        }
    };
    let mut values: Vec<Value> = files.into_iter().map(part).collect();
    let contents = values
        .iter()
        .map(|value| (value.key.as_str(), value.body.as_bytes()));
    let manifest = Manifest::of(revision, contents)?;
    values.push(Value {
        key: format!("{prefix}manifest"),
        body: manifest.render(),
    });
    Ok(values)
}

/// Checks the rules in `paths` and writes the values to publish below `out`, each in a file named
/// by its key.
///
/// # Errors
///
/// Returns every fault of the rules, or why a file cannot be used.
pub fn run(
    prefix: &str,
    revision: Revision,
    paths: Vec<PathBuf>,
    out: &Path,
    output: Output,
) -> Result<(), Error> {
    let mut keys = Vec::new();
    read_rules(paths.clone())?;
    let mut files = Vec::new();
    for path in &paths {
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        files.push((name, read(path)?));
    }
    for value in values(prefix, revision, files)? {
        let path = out.join(&value.key);
        let file = |cause| Error::File {
            path: path.clone(),
            cause,
        };
        fs::create_dir_all(path.parent().unwrap_or(out)).map_err(file)?;
        fs::write(&path, &value.body).map_err(file)?;
        keys.push(value.key);
    }
    match output {
        Output::Json => println!(
            "{}",
            serde_json::json!({ "revision": revision, "keys": keys })
        ),
        Output::Table => println!("{}", keys.join("\n")),
    }
    Ok(())
}
