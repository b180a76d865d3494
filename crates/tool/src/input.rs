//! Reading and validation of intent files.

use crate::errors::{Result, ToolError};
use std::{fs, io, path::Path};
use wagtail_intent::{IntentDocument, IntentError, parse_intent};

/// Reads and validates an intent file; the path `-` stands for the standard input.
///
/// # Errors
///
/// Fails when the file cannot be read, is not YAML, or is no valid intent. All faults of an intent
/// are reported at once.
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

/// Parses and validates the text of an intent file; errors name the given path.
///
/// # Errors
///
/// Fails when the text is not YAML or no valid intent.
pub fn parse_text(path: &Path, text: &str) -> Result<IntentDocument> {
    let syntax_error = |error: String| ToolError::Syntax {
        path: path.to_owned(),
        reason: error,
    };

    // The YAML library's `Value` rejects duplicate fields; `serde_json::Value` keeps the last one.
    let value: serde_yaml_ng::Value =
        serde_yaml_ng::from_str(text).map_err(|error| syntax_error(error.to_string()))?;
    let value = serde_json::to_value(value).map_err(|error| syntax_error(error.to_string()))?;

    parse_intent(&value).map_err(|error| match error {
        IntentError::Faults { faults } => ToolError::Faults {
            path: path.to_owned(),
            faults,
        },
        other => syntax_error(other.to_string()),
    })
}
