//! Linear regression.

/// Least-squares line through measured points.
pub struct Fit {
    /// Change of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Coefficient of determination: the share of the variance that the line explains.
    pub r2: f64,
}

impl Fit {
    /// Fits a line to points of (size, value).
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let syy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let slope = sxy / sxx;
        Fit {
            slope,
            intercept: mean_y - slope * mean_x,
            r2: if syy > 0.0 {
                sxy * sxy / (sxx * syy)
            } else {
                1.0
            },
        }
    }
}
