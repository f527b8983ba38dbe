//! Bar chart of the mean program latency by scenario and policy.

use {
    super::report::{Report, Row},
    plotters::prelude::*,
    std::error::Error,
};

/// Width and height of the plot in pixels.
const SIZE_PIXELS: (u32, u32) = (1_200, 700);

/// Policies in the plot and their colours; the table shows all policies.
const PLOTTED_POLICIES: [(&str, RGBColor); 3] = [
    ("arrival order + least load", RGBColor(200, 80, 60)),
    ("arrival order + prefix affinity", RGBColor(220, 170, 60)),
    ("the policy", RGBColor(60, 110, 190)),
];

/// Draws the mean program latency of each scenario and policy as an SVG.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn plot(report: &Report) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    draw_chart(report, &mut svg)?;
    Ok(svg)
}

#[allow(clippy::cast_precision_loss)] // A few dozen bars.
fn draw_chart(report: &Report, svg: &mut String) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut scenarios: Vec<&str> = report.rows.iter().map(|row| &*row.scenario).collect();
    scenarios.dedup();
    let seconds = |row: &Row| row.stats.latency_ms.mean / 1e3;
    let max_seconds = report.rows.iter().map(seconds).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Mean program latency, s", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..max_seconds * 1.1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios.len() * 2 + 1)
        .x_label_formatter(&|x| label(&scenarios, *x))
        .draw()?;
    let width = 0.8 / PLOTTED_POLICIES.len() as f64;
    for (policy, (name, colour)) in PLOTTED_POLICIES.iter().enumerate() {
        let rows = report.rows.iter().filter(|row| row.policy == *name);
        let bars = rows.map(|row| {
            let index = scenarios.iter().position(|known| *known == &*row.scenario);
            let left = index.unwrap_or_default() as f64 + 0.1 + policy as f64 * width;
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

/// Returns the name of the scenario whose group of bars is centred at `x`.
fn label(scenarios: &[&str], x: f64) -> String {
    let is_centre = |(index, _): &(usize, &&str)| {
        #[allow(clippy::cast_precision_loss)] // A few dozen bars.
        let index = *index as f64;
        (index + 0.5 - x).abs() < 0.01
    };
    let found = scenarios.iter().enumerate().find(is_centre);
    found.map_or_else(String::new, |(_, name)| (*name).into())
}
