//! Follows the lines of a response head, to find a line break that is no line end.
//!
//! A recipient may accept a line that ends with a single LF, and the HTTP library does. In a head whose lines end with
//! CRLF, a single LF is a stray byte: at the beginning of a field name it would end the head, and the rest of the head
//! would become the body.

use thiserror::Error;

/// The number of bytes of a status line up to the end of the status code.
const STATUS_BYTES: usize = 12;

/// The number of bytes of a status line before the status code.
const VERSION_BYTES: usize = 9;

/// `Result` is the result of reading lines.
pub(crate) type Result<T, E = StrayLineBreak> = std::result::Result<T, E>;

/// `StrayLineBreak` tells that the lines of a head end in different ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Error)]
#[error("the lines of the head end in different ways")]
pub(crate) struct StrayLineBreak;

/// `LineEnding` is what a line ends with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineEnding {
    Lf,
    CrLf,
}

/// `HeadLines` reads the heads that arrive for one request: interim ones, and the final one.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadLines {
    /// What the status line of the current head ended with, once it was read.
    ending: Option<LineEnding>,
    /// The beginning of the status line of the current head.
    status: [u8; STATUS_BYTES],
    /// The length of the current line so far, in bytes.
    length: usize,
    /// Whether the current line ends with CR so far.
    ends_with_cr: bool,
    /// Whether the final head was read.
    is_complete: bool,
}

impl HeadLines {
    /// Reads further bytes of a connection. Those after the final head are ignored.
    ///
    /// # Errors
    ///
    /// Fails when a line of a head ends in another way than its status line.
    pub(crate) fn read(&mut self, bytes: &[u8]) -> Result<()> {
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.is_complete {
                break;
            }
            let text = line.strip_suffix(b"\n").unwrap_or(line);
            self.extend_line(text);
            if text.len() < line.len() {
                self.end_line()?;
            }
        }

        Ok(())
    }

    /// Appends to the current line.
    fn extend_line(&mut self, text: &[u8]) {
        if self.ending.is_none() {
            let filled = self.length.min(STATUS_BYTES);
            for (slot, byte) in self.status[filled..].iter_mut().zip(text) {
                *slot = *byte;
            }
        }
        self.length += text.len();
        if let Some(last) = text.last() {
            self.ends_with_cr = *last == b'\r';
        }
    }

    /// Ends the current line at a LF.
    fn end_line(&mut self) -> Result<()> {
        let ending = if self.ends_with_cr {
            LineEnding::CrLf
        } else {
            LineEnding::Lf
        };
        let is_empty = self.length == usize::from(self.ends_with_cr);
        self.length = 0;
        self.ends_with_cr = false;

        match self.ending {
            // The HTTP library ignores empty lines before a head.
            None if is_empty => {}
            None => self.ending = Some(ending),
            Some(expected) if ending != expected => return Err(StrayLineBreak),
            Some(_) if is_empty => {
                self.ending = None;
                self.is_complete = !self.is_interim();
            }
            Some(_) => {}
        }
        Ok(())
    }

    /// Returns whether the current head is interim, so that another one follows. One that switches the protocol is
    /// final.
    fn is_interim(&self) -> bool {
        let code = &self.status[VERSION_BYTES..];

        code.starts_with(b"1") && code != b"101"
    }
}
