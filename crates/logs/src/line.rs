//! One line of key=value pairs.

use std::collections::BTreeMap;
use thiserror::Error;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// The key of the time of a line, with which its pairs begin.
const TIME_KEY: &str = "ts=";

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: i128 = 1_000;

/// `Result` is the result of parsing a line.
pub type Result<T, E = LineError> = std::result::Result<T, E>;

/// `LineError` is the reason why a line is not a log line of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Error)]
pub enum LineError {
    /// The line is of another program.
    #[error("the line has no time and event")]
    Foreign,
    /// The line is cut short or damaged.
    #[error("the line is malformed")]
    Malformed,
}

/// `LogLine` is a parsed line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// The time in microseconds since the Unix epoch, by the clock of the node.
    pub at_us: i64,
    /// The word before the pairs, by which a collector of logs names the node.
    pub node: Option<String>,
    /// The name of the event.
    pub event: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line.
    ///
    /// # Errors
    ///
    /// Fails when the line is of another program, or is malformed.
    pub fn parse(line: &str) -> Result<Self> {
        let start = line.find(TIME_KEY).ok_or(LineError::Foreign)?;
        let (prefix, pairs) = line.split_at(start);
        if !prefix.is_empty() && !prefix.ends_with(char::is_whitespace) {
            return Err(LineError::Foreign);
        }
        if !pairs.contains("event=") {
            return Err(LineError::Foreign);
        }

        let mut fields = parse_pairs(pairs)?;
        let time = fields.remove("ts").ok_or(LineError::Malformed)?;
        let time =
            OffsetDateTime::parse(&time, &Rfc3339).map_err(|_invalid| LineError::Malformed)?;
        let at_us = i64::try_from(time.unix_timestamp_nanos() / NANOS_PER_MICRO)
            .map_err(|_out_of_range| LineError::Malformed)?;
        let event = fields.remove("event").ok_or(LineError::Malformed)?;

        Ok(Self {
            at_us,
            node: prefix.split_whitespace().last().map(ToOwned::to_owned),
            event,
            fields,
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }

    /// Returns the value of a field as a number, `None` if it is absent or no number.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.field(key)?.parse().ok()
    }
}

/// Parses key=value pairs. A value in quotes may contain spaces and escaped characters.
fn parse_pairs(text: &str) -> Result<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();

    while !rest.is_empty() {
        let (key, after) = rest.split_once('=').ok_or(LineError::Malformed)?;
        if key.is_empty() || key.contains(char::is_whitespace) {
            return Err(LineError::Malformed);
        }
        let (value, after) = if let Some(quoted) = after.strip_prefix('"') {
            parse_quoted(quoted)?
        } else {
            let end = after.find(char::is_whitespace).unwrap_or(after.len());
            (after[..end].to_owned(), &after[end..])
        };
        fields.insert(key.to_owned(), value);
        rest = after.trim_start();
    }

    Ok(fields)
}

/// Parses a value after its opening quote. Returns it with what follows the closing one.
fn parse_quoted(text: &str) -> Result<(String, &str)> {
    let mut value = String::new();
    let mut characters = text.char_indices();

    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return Ok((value, &text[index + 1..])),
            '\\' => match characters.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, 't')) => value.push('\t'),
                Some((_, escaped)) => value.push(escaped),
                None => return Err(LineError::Malformed),
            },
            other => value.push(other),
        }
    }

    Err(LineError::Malformed)
}
