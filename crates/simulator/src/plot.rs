//! Plots of a run as SVG: estimated against actual waits, waits over time, and service by tenant
//! over time.

use std::path::Path;

use plotters::prelude::*;

use crate::play::Outcome;

type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// The size of a plot in pixels.
const SIZE: (u32, u32) = (900, 560);

/// Writes `estimates.svg`, `waits.svg` and `members.svg` to `folder`, which is created if it does
/// not exist.
///
/// # Errors
/// Fails if the folder or a file cannot be written.
pub fn draw(outcome: &Outcome, folder: &Path) -> DrawResult {
    std::fs::create_dir_all(folder)?;
    let longest = outcome
        .told
        .iter()
        .fold(0.1f64, |most, wait| most.max(wait.actual).max(wait.median));
    let path = folder.join("estimates.svg");
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area);
    let mut chart = chart
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..longest, 0.0..longest)?;
    chart
        .configure_mesh()
        .x_desc("told, s")
        .y_desc("real wait, s")
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, 0.0), (longest, longest)], &BLACK))?;
    // Only about 5000 evenly spaced points are drawn, because a plot of a million is unreadable.
    let step = (outcome.told.len() / 5000).max(1);
    let points = outcome
        .told
        .iter()
        .step_by(step)
        .map(|wait| Circle::new((wait.median, wait.actual), 2, BLUE));
    chart.draw_series(points)?;
    area.present()?;

    let path = folder.join("waits.svg");
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = outcome.figures.simulated_s.max(1.0);
    let mut chart = ChartBuilder::on(&area);
    let mut chart = chart
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds, 0.0..longest)?;
    chart
        .configure_mesh()
        .x_desc("simulated s")
        .y_desc("wait, s")
        .draw()?;
    let points = outcome
        .told
        .iter()
        .step_by(step)
        .map(|wait| Circle::new((wait.at, wait.actual), 2, RED));
    chart.draw_series(points)?;
    area.present()?;

    let path = folder.join("members.svg");
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let most = outcome
        .spans
        .iter()
        .flatten()
        .fold(1.0f64, |most, span| most.max(span.0).max(span.1));
    let mut chart = ChartBuilder::on(&area);
    let mut chart = chart
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds, 0.0..most / outcome.span_s)?;
    chart
        .configure_mesh()
        .x_desc("simulated s")
        .y_desc("CPU s a second, asked (pale) and served")
        .draw()?;
    for tenant in 0..outcome.members.len() {
        let color = Palette99::pick(tenant).to_rgba();
        let line = |select: fn(&(f64, f64)) -> f64| {
            let spans = outcome.spans.iter().enumerate();
            spans.map(move |(index, span)| {
                (
                    (index as f64 + 0.5) * outcome.span_s,
                    select(&span[tenant]) / outcome.span_s,
                )
            })
        };
        chart.draw_series(LineSeries::new(line(|span| span.0), color.mix(0.3)))?;
        chart.draw_series(LineSeries::new(line(|span| span.1), color.stroke_width(2)))?;
    }
    area.present()?;
    Ok(())
}
