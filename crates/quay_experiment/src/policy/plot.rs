//! A plot of program latency by scenario and policy.

use {
    super::report::{Report, Row},
    plotters::prelude::*,
    std::error::Error,
};

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (1_200, 700);

/// Policies that the plot shows; the others are in the table.
const SHOWN: [(&str, RGBColor); 3] = [
    ("arrival order + least load", RGBColor(200, 80, 60)),
    ("arrival order + prefix affinity", RGBColor(220, 170, 60)),
    ("the policy", RGBColor(60, 110, 190)),
];

/// Draws mean latency of each scenario as an SVG.
///
/// # Errors
///
/// Fails if the plot can't be drawn.
pub fn plot(report: &Report) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    draw(report, &mut svg)?;
    Ok(svg)
}

#[allow(clippy::cast_precision_loss)] // A few dozen bars.
fn draw(report: &Report, svg: &mut String) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut scenarios: Vec<&str> = report.rows.iter().map(|row| &*row.scenario).collect();
    scenarios.dedup();
    let seconds = |row: &Row| row.stats.latency_ms.mean / 1e3;
    let most = report.rows.iter().map(seconds).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Mean program latency, s", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..most * 1.1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios.len() * 2 + 1)
        .x_label_formatter(&|at| label(&scenarios, *at))
        .draw()?;
    let width = 0.8 / SHOWN.len() as f64;
    for (policy, (name, colour)) in SHOWN.iter().enumerate() {
        let rows = report.rows.iter().filter(|row| row.policy == *name);
        let bars = rows.map(|row| {
            let place = scenarios.iter().position(|known| *known == &*row.scenario);
            let left = place.unwrap_or_default() as f64 + 0.1 + policy as f64 * width;
            Rectangle::new([(left, 0.0), (left + width, seconds(row))], colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(*name)
            .legend(|(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// The scenario whose bars are at `at`, where its middle is.
fn label(scenarios: &[&str], at: f64) -> String {
    let middle = |(place, _): &(usize, &&str)| {
        #[allow(clippy::cast_precision_loss)] // A few dozen bars.
        let place = *place as f64;
        (place + 0.5 - at).abs() < 0.01
    };
    let found = scenarios.iter().enumerate().find(middle);
    found.map_or_else(String::new, |(_, name)| (*name).into())
}
