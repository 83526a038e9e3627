//! A straight line through measured points.

/// `base + each * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slope {
    pub base: f64,
    pub each: f64,
}

impl Slope {
    /// Fits a line through points of x and y.
    pub fn fit(points: &[(f64, f64)]) -> Slope {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let each = if spread > 0.0 { joint / spread } else { 0.0 };
        Slope { base: mean_y - each * mean_x, each }
    }

    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.each * x
    }
}
