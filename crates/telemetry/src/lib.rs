//! Logs, metrics and latency histograms.
