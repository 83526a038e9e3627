//! Renders the report as one self-contained HTML page.

use plotters::prelude::*;
use quick_error::quick_error;

use crate::{BurnReport, BurnRow, text};

quick_error! {
    /// Why a page could not be rendered.
    #[derive(Debug)]
    pub enum HtmlError {
        /// The plotting library failed.
        Plot(reason: String) {
            display("a plot could not be drawn: {reason}")
        }
    }
}

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (640, 180);

/// Renders the report with a plot for each service and class.
///
/// # Errors
///
/// Fails if a plot can't be drawn.
pub fn html(report: &BurnReport) -> Result<String, HtmlError> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font:15px sans-serif;margin:2em;max-width:60em}\
         table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}\
         .page{color:#b00020;font-weight:bold}.ticket{color:#a06000}</style>\
         <h1>Service-level burn</h1>",
    );
    for row in &report.rows {
        write_section(row, &mut page)?;
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn write_section(row: &BurnRow, page: &mut String) -> Result<(), HtmlError> {
    let urgency = text::urgency(row.urgency);
    page.push_str(&format!(
        "<h2 class=\"{urgency}\">{} / {}: {urgency}</h2><table><tr><th>window<th>requests<th>failed\
         <th>burn rate</tr>",
        escape(&row.service),
        escape(&row.class)
    ));
    for window in &row.windows {
        page.push_str(&format!(
            "<tr><td>{} min<td>{}<td>{}<td>{:.2}</tr>",
            window.minutes,
            window.requests,
            window.bad,
            window.burn_hundredths as f64 / 100.0
        ));
    }
    page.push_str("</table><ul>");
    for blame in &row.blames {
        let target = if blame.target.is_empty() { "no target" } else { blame.target.as_str() };
        page.push_str(&format!(
            "<li>{} at {}: {}</li>",
            blame.count,
            escape(target),
            escape(&blame.reason)
        ));
    }
    page.push_str("</ul>");
    page.push_str(&draw_plot(row).map_err(|err| HtmlError::Plot(err.to_string()))?);
    Ok(())
}

/// Draws the percentage of failed requests in each minute, and the allowed percentage as a line.
fn draw_plot(row: &BurnRow) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let allowed_percentage = (1_000_000 - row.objective_ppm) as f64 / 10_000.0;
        let failed_percentages: Vec<f64> = row
            .minutes
            .iter()
            .map(|it| 100.0 * it.bad() as f64 / it.total().max(1) as f64)
            .collect();
        let y_max = failed_percentages.iter().copied().fold(allowed_percentage * 2.0, f64::max);
        let span = failed_percentages.len().max(2) as f64;
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(44)
            .build_cartesian_2d(-span..0.0, 0.0..y_max)?;
        chart.configure_mesh().x_desc("minutes ago").y_desc("failed, %").draw()?;
        let points = failed_percentages
            .iter()
            .enumerate()
            .map(|(minutes_ago, percentage)| (-(minutes_ago as f64), *percentage));
        chart.draw_series(LineSeries::new(points, &RED))?;
        chart.draw_series(LineSeries::new(
            [(-span, allowed_percentage), (0.0, allowed_percentage)],
            &BLUE,
        ))?;
        area.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
