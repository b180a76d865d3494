//! Aligned columns.

use std::fmt::{self, Write};

/// The spaces between two columns.
const GAP: usize = 2;

/// `TextTable` is a table for people, with a line of headings.
#[derive(Debug, Clone, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Makes a table with headings.
    pub fn new(headings: &[&str]) -> Self {
        Self {
            rows: vec![headings.iter().map(ToString::to_string).collect()],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns whether the table has headings only.
    pub fn is_empty(&self) -> bool {
        self.rows.len() < 2
    }

    /// Returns the width of a column in characters.
    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));

        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();

            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column) + GAP;
                // Writing to a text cannot fail.
                let _ = write!(line, "{cell:<width$}");
            }

            writeln!(f, "{}", line.trim_end())?;
        }

        Ok(())
    }
}
