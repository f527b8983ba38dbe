//! Plot of the programs' outcomes by second.

use {super::report::WorldReport, plotters::prelude::*, std::error::Error};

/// Width and height of the plot in pixels.
const SIZE_PIXELS: (u32, u32) = (1_000, 500);

/// Draws the worth of the programs that begin in each second, of several runs, as an SVG.
///
/// # Errors
///
/// Returns an error if the plot can't be drawn.
pub fn plot(runs: &[(Box<str>, WorldReport)]) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    let seconds = runs.iter().map(|(_, run)| run.by_second.len()).max();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Worth by second", ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(35)
            .y_label_area_size(45)
            .build_cartesian_2d(0..seconds.unwrap_or(1), 0.0..1.05)?;
        chart.configure_mesh().x_desc("second").draw()?;
        for (index, (name, run)) in runs.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = run.by_second.iter().map(super::report::Counts::worth);
            chart
                .draw_series(LineSeries::new(points.enumerate(), colour.stroke_width(2)))?
                .label(&**name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}
