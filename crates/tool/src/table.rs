//! Tables with aligned columns.

use std::fmt::{self, Write};

/// The number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// `TextTable` is a table with a heading row, displayed with left-aligned columns.
#[derive(Debug, Clone, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table that has only its heading row.
    pub fn new(headings: &[&str]) -> Self {
        Self {
            rows: vec![headings.iter().map(ToString::to_string).collect()],
        }
    }

    /// Appends a row, with one cell for each heading.
    pub fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns whether the table has no rows besides its headings.
    pub fn is_empty(&self) -> bool {
        self.rows.len() < 2
    }

    /// Returns the width in characters of the widest cell of a column.
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
                let width = self.width(column) + COLUMN_GAP;
                // Writing to a string cannot fail.
                let _ = write!(line, "{cell:<width$}");
            }

            writeln!(f, "{}", line.trim_end())?;
        }

        Ok(())
    }
}
