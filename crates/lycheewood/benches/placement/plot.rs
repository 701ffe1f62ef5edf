//! Plots skew against moves, with a point for each scenario and policy.

use std::error::Error;

use plotters::prelude::*;

use crate::run::Row;

const COLOURS: [(&str, RGBColor); 5] = [
    ("static", RGBColor(120, 120, 120)),
    ("rebuild", RGBColor(214, 96, 77)),
    ("replicate_pack", RGBColor(230, 160, 40)),
    ("lycheewood_skew", RGBColor(33, 102, 172)),
    ("lycheewood_cost", RGBColor(27, 120, 55)),
];

pub(crate) fn write(path: &str, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (860, 540)).into_drawing_area();
    root.fill(&WHITE)?;
    let top = rows.iter().map(|row| row.skew_mean).fold(0.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption("Skew against experts moved, by scenario and policy", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((1.0..1e6_f64).log_scale(), 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("experts moved in the run, plus one (log)")
        .y_desc("mean step-time skew")
        .draw()?;
    for (policy, colour) in COLOURS {
        let points = rows.iter().filter(|row| row.policy == policy);
        chart
            .draw_series(points.map(|row| {
                let moves = f64::from(u32::try_from(row.moves).unwrap_or(u32::MAX)) + 1.0;
                EmptyElement::at((moves, row.skew_mean))
                    + Circle::new((0, 0), 4, colour.filled())
                    + Text::new(row.scenario, (6, -5), ("sans-serif", 10))
            }))?
            .label(policy)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
