//! One chunk of a streamed answer.
//!
//! The visitors are written by hand, since a chunk is read for every token: they borrow from the
//! event's data, and they read the first choice into the chunk itself without a list.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// Whether a chunk ends its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Finish<'a> {
    /// It has no choice.
    #[default]
    NoChoice,
    /// Its choice goes on.
    GoesOn,
    /// Its choice ends for this reason.
    Reason(Cow<'a, str>),
}

/// A chunk, its first choice included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Chunk<'a> {
    pub(super) id: Option<Cow<'a, str>>,
    pub(super) model: Option<Cow<'a, str>>,
    pub(super) object: Option<Cow<'a, str>>,
    pub(super) offset: Option<u64>,
    pub(super) text: Cow<'a, str>,
    pub(super) finish: Finish<'a>,
    /// What went wrong, where the chunk reports a failure.
    pub(super) error: Option<Cow<'a, str>>,
}

impl<'de> Deserialize<'de> for Chunk<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Chunk<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a completion chunk")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Chunk<'de>, A::Error> {
        let mut chunk = Chunk::default();
        while let Some(Text(key)) = map.next_key()? {
            match &*key {
                "id" => chunk.id = text(&mut map)?,
                "model" => chunk.model = text(&mut map)?,
                "object" => chunk.object = text(&mut map)?,
                "offset" => chunk.offset = map.next_value()?,
                "error" => {
                    let fault: Option<Fault<'_>> = map.next_value()?;
                    chunk.error = fault.map(|fault| fault.0);
                }
                "choices" => {
                    let choice = map.next_value::<Choices<'_>>()?.0;
                    (chunk.text, chunk.finish) = (choice.text, choice.finish);
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(chunk)
    }
}

/// Reads a string or null.
fn text<'de, A: MapAccess<'de>>(map: &mut A) -> Result<Option<Cow<'de, str>>, A::Error> {
    let text: Option<Text<'_>> = map.next_value()?;
    Ok(text.map(|text| text.0))
}

/// A string that borrows where it holds no escapes.
struct Text<'a>(Cow<'a, str>);

impl<'de> Deserialize<'de> for Text<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TextVisitor)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = Text<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string")
    }

    fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Text<'de>, E> {
        Ok(Text(Cow::Borrowed(text)))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Text<'de>, E> {
        Ok(Text(Cow::Owned(text.to_owned())))
    }
}

/// The first of a chunk's choices.
#[derive(Default)]
struct Choices<'a>(Choice<'a>);

/// One choice.
#[derive(Default)]
struct Choice<'a> {
    text: Cow<'a, str>,
    finish: Finish<'a>,
}

impl<'de> Deserialize<'de> for Choices<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = Choices<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Choices<'de>, A::Error> {
        let first: Option<Choice<'_>> = seq.next_element()?;
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(first.map(Choices).unwrap_or_default())
    }
}

impl<'de> Deserialize<'de> for Choice<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChoiceVisitor)
    }
}

struct ChoiceVisitor;

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = Choice<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Choice<'de>, A::Error> {
        let mut choice = Choice {
            finish: Finish::GoesOn,
            ..Choice::default()
        };
        while let Some(Text(key)) = map.next_key()? {
            match &*key {
                "text" => choice.text = map.next_value::<Text<'_>>()?.0,
                "finish_reason" => {
                    choice.finish = text(&mut map)?.map_or(Finish::GoesOn, Finish::Reason);
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(choice)
    }
}

/// The message of a reported failure.
struct Fault<'a>(Cow<'a, str>);

impl<'de> Deserialize<'de> for Fault<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FaultVisitor)
    }
}

struct FaultVisitor;

impl<'de> Visitor<'de> for FaultVisitor {
    type Value = Fault<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a failure with its message")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fault<'de>, A::Error> {
        let mut fault = Fault(Cow::Borrowed(""));
        while let Some(Text(key)) = map.next_key()? {
            match &*key {
                "message" => fault.0 = map.next_value::<Text<'_>>()?.0,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(fault)
    }
}
