//! Rates and latencies as an SVG image.

use crate::report::{LogReport, WindowCounts};
use plotters::{
    backend::SVGBackend,
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    series::LineSeries,
    style::{BLUE, Color, GREEN, RED, RGBColor, WHITE},
};
use thiserror::Error;

/// The size of the image in pixels.
const SIZE: (u32, u32) = (960, 640);

/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// `Result` is the result of drawing.
pub type Result<T, E = PlotError> = std::result::Result<T, E>;

/// `PlotError` is the reason why no image was drawn.
#[derive(Debug)]
#[derive(Error)]
#[error("the image cannot be drawn: {reason}")]
pub struct PlotError {
    reason: String,
}

/// `PlotCurve` is a curve with its color.
struct PlotCurve {
    color: RGBColor,
    value: fn(&WindowCounts) -> Option<u64>,
}

/// Draws the requests by window (answered green, refused blue, failed red) above the latencies (median green, 99th
/// percentile red). Returns the text of an SVG image.
///
/// # Errors
///
/// Fails when the drawing library does.
pub fn draw_report(report: &LogReport) -> Result<String> {
    let rates = [
        PlotCurve {
            color: GREEN,
            value: |window| Some(window.fates.answered),
        },
        PlotCurve {
            color: BLUE,
            value: |window| Some(window.fates.refused),
        },
        PlotCurve {
            color: RED,
            value: |window| Some(window.fates.failed),
        },
    ];
    let latencies = [
        PlotCurve {
            color: GREEN,
            value: |window| window.median_ms,
        },
        PlotCurve {
            color: RED,
            value: |window| window.p99_ms,
        },
    ];

    let mut image = String::new();
    let area = SVGBackend::with_string(&mut image, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    for (part, curves) in [(&upper, &rates[..]), (&lower, &latencies[..])] {
        draw_curves(part, report, curves)?;
    }
    area.present().map_err(plot_error)?;
    // The image is complete once nothing draws on it.
    drop((area, upper, lower));

    Ok(image)
}

/// Draws curves over the time since the first window, in seconds.
#[expect(clippy::cast_precision_loss, reason = "positions in an image")]
fn draw_curves(
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    report: &LogReport,
    curves: &[PlotCurve],
) -> Result<()> {
    let start = report.windows.keys().next().copied().unwrap_or_default();
    let seconds = |at: i64| (at - start) as f64 / SECOND_MS;
    let end = report.windows.keys().next_back().copied().unwrap_or(start);
    let values = report.windows.values();
    let most = values
        .flat_map(|window| curves.iter().filter_map(|curve| (curve.value)(window)))
        .max()
        .unwrap_or(1);

    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds(end).max(1.0), 0.0..most.max(1) as f64)
        .map_err(plot_error)?;
    chart.configure_mesh().draw().map_err(plot_error)?;
    for curve in curves {
        let points = report.windows.iter().filter_map(|(at, window)| {
            (curve.value)(window).map(|value| (seconds(*at), value as f64))
        });
        chart
            .draw_series(LineSeries::new(points, curve.color.stroke_width(2)))
            .map_err(plot_error)?;
    }

    Ok(())
}

/// Converts an error of the drawing library.
fn plot_error(error: impl std::fmt::Display) -> PlotError {
    PlotError {
        reason: error.to_string(),
    }
}
