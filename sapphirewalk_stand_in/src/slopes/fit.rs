//! Fits a straight line to measured points by least squares.

/// A straight line: `base + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FittedLine {
    /// The fitted value at size zero.
    pub base: f64,
    /// The increase of the value for each unit of size.
    pub slope: f64,
}

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FitPoint {
    /// Size of the load, such as a number of endpoints.
    pub size: f64,
    /// Value measured at that size.
    pub value: f64,
}

/// Fits a line; it is flat at the mean value when all sizes are equal, and zero without points.
pub fn fit(points: &[FitPoint]) -> FittedLine {
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let square_sum: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let product_sum: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    let slope = if square_sum > 0.0 {
        product_sum / square_sum
    } else {
        0.0
    };
    FittedLine {
        base: mean_value - slope * mean_size,
        slope,
    }
}
