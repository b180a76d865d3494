//! The command that sums up the log lines of nodes.

use crate::{
    args::{LogsCommand, STDIN_PATH},
    errors::{Result, ToolError},
    table::TextTable,
};
use std::{
    collections::BTreeMap,
    fmt::Write,
    fs::{self, File},
    io::{self, BufRead, BufReader, IsTerminal},
    path::{Path, PathBuf},
    time::Duration,
};
use wagtail_logs::{
    LogReport, ReportOptions,
    plot::draw_report,
    report::{FateCounts, WindowCounts},
    request::RequestPlace,
};

/// The number of lines after which the progress is shown.
const PROGRESS_LINES: u64 = 1_000_000;

/// Milliseconds in a second.
const SECOND_MS: i64 = 1_000;

/// Reads the files and returns the report. Draws the image if one is asked for.
///
/// # Errors
///
/// Fails when a file cannot be read or the image cannot be written. Lines that are damaged are counted.
pub fn read_logs(command: &LogsCommand) -> Result<LogReport> {
    let mut report = LogReport::new(ReportOptions {
        window: Duration::from_secs(command.window_s),
        request_id: command.request_id.clone(),
        ..ReportOptions::default()
    });

    for path in &command.files {
        let failed = |source| ToolError::File {
            path: path.clone(),
            source,
        };
        if path == Path::new(STDIN_PATH) {
            read_lines(io::stdin().lock(), "-", &mut report).map_err(failed)?;
        } else {
            let file = File::open(path).map_err(failed)?;
            read_lines(BufReader::new(file), &node_of(path), &mut report).map_err(failed)?;
        }
    }
    report.finish();

    if let Some(path) = &command.plot {
        draw(&report, path)?;
    }
    Ok(report)
}

/// Adds the lines of one file to the report. Bytes that are no UTF-8 are replaced.
fn read_lines(mut lines: impl BufRead, source: &str, report: &mut LogReport) -> io::Result<()> {
    let shows_progress = io::stderr().is_terminal();
    let mut line = Vec::new();

    loop {
        line.clear();
        if lines.read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        report.add(String::from_utf8_lossy(&line).trim_end(), source);
        if shows_progress && report.lines.read.is_multiple_of(PROGRESS_LINES) {
            eprintln!("{} lines read", report.lines.read);
        }
    }
}

/// Returns the name of the node whose log a file is: that of the file up to the first dot, so that `vm-3.log` and the
/// rotated `vm-3.log.1` are of one node.
fn node_of(path: &Path) -> String {
    let name = path.file_name().unwrap_or_default().to_string_lossy();

    name.split('.').next().unwrap_or_default().to_owned()
}

/// Writes the image of a report.
fn draw(report: &LogReport, path: &PathBuf) -> Result<()> {
    let failed = |source| ToolError::File {
        path: path.clone(),
        source,
    };
    let image = draw_report(report).map_err(|error| failed(io::Error::other(error)))?;

    fs::write(path, image).map_err(failed)
}

/// Formats a report with at most `rows` rows in each table.
pub fn render_logs(report: &LogReport, rows: usize) -> String {
    let lines = report.lines;
    let mut text = format!(
        "{} lines: {} of nodes, {} of other programs, {} malformed; {} failures were not logged\n",
        lines.read, lines.events, lines.foreign, lines.malformed, lines.suppressed
    );
    let requests = report.requests;
    let _ = writeln!(
        text,
        "requests in the logs: {} answered ({} late), {} refused, {} failed",
        requests.answered, requests.late, requests.refused, requests.failed
    );

    let mut reasons = TextTable::new(&["reason", "at", "count"]);
    for reason in report.reasons().iter().take(rows) {
        let place = match reason.key.place {
            RequestPlace::Caller => "caller's node",
            RequestPlace::Target => "target's node",
        };
        reasons.push(vec![
            reason.key.reason.clone(),
            place.to_owned(),
            reason.count.to_string(),
        ]);
    }
    push_table(&mut text, &reasons);
    for (heading, counts) in [
        ("route", &report.routes),
        ("service", &report.services),
        ("caller's node", &report.callers),
        ("target's node", &report.targets),
    ] {
        push_table(&mut text, &counts_table(heading, counts, rows));
    }
    push_table(&mut text, &windows_table(&report.windows, rows));
    push_table(&mut text, &steps_table(report));

    text
}

/// Returns a table of counts, the rows with the most requests that were not served first.
fn counts_table(heading: &str, counts: &BTreeMap<String, FateCounts>, rows: usize) -> TextTable {
    let mut table = TextTable::new(&[heading, "answered", "late", "refused", "failed"]);
    let mut sorted: Vec<(&String, &FateCounts)> = counts.iter().collect();
    sorted.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.unserved()));

    for (name, counts) in sorted.into_iter().take(rows) {
        let mut cells = vec![name.clone()];
        cells.extend(fate_cells(counts));
        table.push(cells);
    }

    table
}

/// Returns a table of the windows with the most requests that were not served, in order of time.
fn windows_table(windows: &BTreeMap<i64, WindowCounts>, rows: usize) -> TextTable {
    let mut table = TextTable::new(&[
        "from second",
        "answered",
        "late",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
    ]);
    let start = windows.keys().next().copied().unwrap_or_default();
    let mut worst: Vec<(&i64, &WindowCounts)> = windows.iter().collect();
    worst.sort_by_key(|(_, window)| std::cmp::Reverse(window.fates.unserved()));
    worst.truncate(rows);
    worst.sort_by_key(|(at, _)| **at);

    for (at, window) in worst {
        let mut cells = vec![((at - start) / SECOND_MS).to_string()];
        cells.extend(fate_cells(&window.fates));
        let latencies = [window.median_ms, window.p99_ms];
        cells.extend(latencies.map(|ms| ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string())));
        table.push(cells);
    }

    table
}

/// Returns the way of the followed request.
fn steps_table(report: &LogReport) -> TextTable {
    let mut table = TextTable::new(&["ms", "node", "event"]);
    let start = report.steps.first().map_or(0, |step| step.at_us);

    for step in &report.steps {
        table.push(vec![
            format!(
                "{}.{:03}",
                (step.at_us - start) / 1_000,
                (step.at_us - start) % 1_000
            ),
            step.node.clone(),
            step.text.clone(),
        ]);
    }

    table
}

/// Returns the cells of counts.
fn fate_cells(counts: &FateCounts) -> [String; 4] {
    [counts.answered, counts.late, counts.refused, counts.failed].map(|count| count.to_string())
}

/// Appends a table unless it is empty.
fn push_table(text: &mut String, table: &TextTable) {
    if !table.is_empty() {
        // Writing to a string cannot fail.
        let _ = write!(text, "\n{table}");
    }
}
