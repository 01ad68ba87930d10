//! Promises on completions.

use std::collections::HashMap;
use std::time::Duration;

use wire::{Priority, rank};

use super::{Ask, Breach, Evidence, Outcome, Promise, What, micros};
use crate::answer;
use crate::log::Kind;

pub(super) fn right_model(evidence: &Evidence, breaches: &mut Vec<Breach>) {
    let asks = evidence.asks_by_prompt();
    for entry in &evidence.entries {
        let Kind::Start { prompt, model, .. } = &entry.kind else {
            continue;
        };
        let Some(ask) = asks.get(prompt) else {
            continue;
        };
        if let What::Completion { model: named, .. } = &ask.what
            && named != model
        {
            let detail = format!("ran on {model} at {}, not on {named}", entry.upstream);
            breaches.push(Breach::new(Promise::RightModel, &*ask.request, detail));
        }
    }
}

pub(super) fn whole_own_answer(evidence: &Evidence, breaches: &mut Vec<Breach>) {
    for ask in &evidence.asks {
        let expected = expected(ask);
        let detail = match &ask.outcome {
            Outcome::Answered(text) if *text == expected => continue,
            Outcome::Answered(text) => misanswered(evidence, text, &expected),
            Outcome::Cut(text) if !expected.starts_with(text.as_str()) => {
                "the part received is not of its answer".to_owned()
            }
            _ => continue,
        };
        breaches.push(Breach::new(Promise::WholeOwnAnswer, &*ask.request, detail));
    }
}

/// Finds urgent completions that began after less urgent ones for the same model that were asked
/// for later.
pub(super) fn urgent_first(evidence: &Evidence, overtake: Duration, breaches: &mut Vec<Breach>) {
    let admitted = admitted(evidence);
    let begun = evidence.asks.iter().filter_map(|ask| first(&admitted, ask));
    let begun: Vec<Begun<'_>> = begun.collect();
    let urgent = begun.iter().filter(|one| one.priority == Priority::Urgent);
    for one in urgent {
        let overtook = |other: &&Begun<'_>| {
            other.priority > one.priority
                && other.model == one.model
                && other.ask.at_us > one.ask.at_us + micros(overtake)
                && other.at_us < one.at_us
        };
        if let Some(other) = begun.iter().find(overtook) {
            let wait = |begun: &Begun<'_>| begun.at_us.saturating_sub(begun.ask.at_us) / 1_000;
            let detail = format!(
                "waited {} ms for {}; {}, asked for {} ms later, waited {} ms",
                wait(one),
                one.model,
                other.ask.request,
                (other.ask.at_us - one.ask.at_us) / 1_000,
                wait(other),
            );
            breaches.push(Breach::new(Promise::UrgentFirst, &*one.ask.request, detail));
        }
    }
}

/// A completion with the time of its first entry into a batch.
struct Begun<'a> {
    ask: &'a Ask,
    model: &'a str,
    priority: Priority,
    at_us: u64,
}

/// Returns the time at which each prompt first entered a batch.
fn admitted(evidence: &Evidence) -> HashMap<u64, u64> {
    let mut first = HashMap::new();
    for entry in &evidence.entries {
        if let Kind::Admit { prompt, .. } = &entry.kind {
            let at = first.entry(*prompt).or_insert(entry.at_us);
            *at = entry.at_us.min(*at);
        }
    }
    first
}

fn first<'a>(admitted: &HashMap<u64, u64>, ask: &'a Ask) -> Option<Begun<'a>> {
    let What::Completion {
        model,
        priority,
        prompt,
        ..
    } = &ask.what
    else {
        return None;
    };
    Some(Begun {
        ask,
        model,
        priority: *priority,
        at_us: *admitted.get(&rank::hash(prompt))?,
    })
}

/// Returns the answer that `ask` is to get.
fn expected(ask: &Ask) -> String {
    match &ask.what {
        What::Completion {
            model,
            prompt,
            tokens,
            ..
        } => answer::text(model, prompt, *tokens),
        What::Call {
            method,
            path,
            key,
            body,
            ..
        } => {
            let key = key.as_deref().unwrap_or_default();
            answer::service(method, path, key, body.as_bytes())
        }
    }
}

fn misanswered(evidence: &Evidence, text: &str, expected: &str) -> String {
    if expected.starts_with(text) {
        return format!(
            "{} of {} bytes passed for the whole",
            text.len(),
            expected.len()
        );
    }
    match evidence
        .asks
        .iter()
        .find(|other| self::expected(other) == text)
    {
        Some(other) => format!("got the answer to {}", other.request),
        None => "got an answer to no known request".to_owned(),
    }
}
