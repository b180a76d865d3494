//! The intent file.

use crate::errors::{Result, ToolError};
use std::{fs, io, path::Path};
use wagtail_intent::{IntentDocument, IntentError, parse_intent};

/// Reads and checks an intent file; `-` is the standard input.
///
/// # Errors
///
/// Fails when the file cannot be read, is not YAML, or has faults.
pub fn read_intent(path: &Path) -> Result<IntentDocument> {
    let text = if path == Path::new("-") {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(path)
    };
    let text = text.map_err(|source| ToolError::File {
        path: path.to_owned(),
        source,
    })?;

    parse_text(path, &text)
}

/// Checks the text of an intent file.
///
/// # Errors
///
/// Fails when the text is not YAML or has faults.
pub fn parse_text(path: &Path, text: &str) -> Result<IntentDocument> {
    let syntax = |error: String| ToolError::Syntax {
        path: path.to_owned(),
        reason: error,
    };

    // The library's own value refuses a field that stands twice; the JSON one keeps the last.
    let value: serde_yaml_ng::Value =
        serde_yaml_ng::from_str(text).map_err(|error| syntax(error.to_string()))?;
    let value = serde_json::to_value(value).map_err(|error| syntax(error.to_string()))?;

    parse_intent(&value).map_err(|error| match error {
        IntentError::Faults { faults } => ToolError::Faults {
            path: path.to_owned(),
            faults,
        },
        other => syntax(other.to_string()),
    })
}
