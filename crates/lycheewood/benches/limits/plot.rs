//! Plot of goodput against offered load as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

/// Name of a policy and its points (offered load, goodput), in requests per second.
pub(crate) type Curve = (&'static str, Vec<(f64, f64)>);

const COLORS: [RGBColor; 4] =
    [RGBColor(150, 150, 150), RGBColor(200, 120, 0), RGBColor(0, 110, 180), RGBColor(160, 0, 60)];

pub(crate) fn write(
    path: &Path,
    capacity_per_s: f64,
    curves: &[Curve],
) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (760, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..3.05 * capacity_per_s, 0.0..1.1 * capacity_per_s)?;
    chart
        .configure_mesh()
        .x_desc("offered load (requests/s)")
        .y_desc("goodput (requests/s answered within the deadline)")
        .draw()?;
    for ((name, points), color) in curves.iter().zip(COLORS) {
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, color.filled())))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::MiddleRight)
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
