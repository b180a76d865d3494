//! Least-squares fits of straight lines.

/// `LineFit` is the least-squares line through a set of points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LineFit {
    /// The rise of the value per unit of size.
    pub slope: f64,
    /// The value at zero.
    pub intercept: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The root mean square of the vertical distances of the points from the line.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line through at least three points of different sizes.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = f64_from_usize(points.len());
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;

        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let product: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = product / spread;
        let intercept = mean_y - slope * mean_x;

        let squares: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();

        Self {
            slope,
            intercept,
            slope_error: (squares / (count - 2.0).max(1.0) / spread).sqrt(),
            residual: (squares / count).sqrt(),
        }
    }

    /// Prints the line with its errors and its value at the size `at`.
    pub fn print(&self, name: &str, unit: &str, by: &str, at: f64) {
        println!(
            "fit {name}: {:.4} {unit} a {by} (error {:.4}) + {:.4} {unit}, residual {:.4}; \
             at {at} {by}s {:.2} {unit}",
            self.slope,
            self.slope_error,
            self.intercept,
            self.residual,
            self.intercept + self.slope * at,
        );
    }
}

/// Converts a `usize` count, which is far below the limit of exact floats.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts are far below the limit of exact floats"
)]
pub fn f64_from_usize(count: usize) -> f64 {
    count as f64
}

/// Converts a `u64` count, which is far below the limit of exact floats.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts are far below the limit of exact floats"
)]
pub fn f64_from_u64(count: u64) -> f64 {
    count as f64
}
