//! Linear regression.

/// The line `intercept + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearFit {
    pub intercept: f64,
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line to points `(x, y)`.
    pub fn fit(points: &[(f64, f64)]) -> LinearFit {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_products: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if sum_squares > 0.0 { sum_products / sum_squares } else { 0.0 };
        LinearFit { intercept: mean_y - slope * mean_x, slope }
    }

    /// The value of the line at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
