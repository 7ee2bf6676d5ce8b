//! The plot of a run: attainment and latency percentiles over time.

use std::error::Error;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::DrawingArea;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::SeriesLabelPosition;
use plotters::prelude::WHITE;

use crate::report::request_stats::ratio;
use crate::report::summary::DeploymentSummary;
use crate::report::summary::SecondStats;
use crate::report::summary::Summary;

const SIZE_PIXELS: (u32, u32) = (1_000, 760);
const DEPLOYMENT_COLOURS: [RGBColor; 2] = [RGBColor(31, 90, 180), RGBColor(205, 80, 20)];
const EVENT_COLOUR: RGBColor = RGBColor(120, 120, 120);
/// Upper end of the attainment axis; the space above 100 % keeps the line off the border.
const MAX_ATTAINMENT_PERCENT: f64 = 105.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Points = Vec<(f64, f64)>;

/// One line of a chart.
struct Line {
    label: String,
    colour: RGBColor,
    opacity: f64,
    points: Points,
}

/// Writes the plot to an SVG file.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn or written.
pub fn write(summary: &Summary, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let (top, bottom) = root.split_vertically(SIZE_PIXELS.1 / 2);
    let title = format!(
        "{}: complete responses before the deadline, % of requests",
        summary.scenario
    );
    let lines = deployment_lines(summary, attainment_lines);
    draw_chart(&top, &title, MAX_ATTAINMENT_PERCENT, &lines, summary)?;
    let lines = self::deployment_lines(summary, latency_lines);
    let max_value = lines
        .iter()
        .flat_map(|line| line.points.iter().map(|(_, value)| *value))
        .fold(1.0, f64::max);
    draw_chart(
        &bottom,
        "time to the complete response, ms",
        max_value * 1.1,
        &lines,
        summary,
    )?;
    root.present()?;
    Ok(())
}

fn deployment_lines(
    summary: &Summary,
    build_lines: fn(&DeploymentSummary, RGBColor) -> Vec<Line>,
) -> Vec<Line> {
    summary
        .deployments
        .iter()
        .zip(DEPLOYMENT_COLOURS)
        .flat_map(|(deployment, colour)| build_lines(deployment, colour))
        .collect()
}

/// Returns a value for each second of the run in which requests were scheduled.
fn points(deployment: &DeploymentSummary, value: fn(&SecondStats) -> f64) -> Points {
    deployment
        .seconds
        .iter()
        .enumerate()
        .filter(|(_, second)| second.arrivals > 0)
        .map(|(index, second)| (index as f64, value(second)))
        .collect()
}

fn attainment_lines(deployment: &DeploymentSummary, colour: RGBColor) -> Vec<Line> {
    let attainment =
        |second: &SecondStats| ratio(second.completed as f64, second.arrivals as f64) * 100.0;
    vec![Line {
        label: deployment.label.clone(),
        colour,
        opacity: 1.0,
        points: points(deployment, attainment),
    }]
}

fn latency_lines(deployment: &DeploymentSummary, colour: RGBColor) -> Vec<Line> {
    let line = |name: &str, opacity, value| Line {
        label: format!("{} {name}", deployment.label),
        colour,
        opacity,
        points: points(deployment, value),
    };
    vec![
        line("p50", 0.35, |second| second.latency.p50_ms),
        line("p95", 0.65, |second| second.latency.p95_ms),
        line("p99", 1.0, |second| second.latency.p99_ms),
    ]
}

fn draw_chart(
    area: &Area<'_>,
    title: &str,
    max_value: f64,
    lines: &[Line],
    summary: &Summary,
) -> Result<(), Box<dyn Error>> {
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..summary.duration_s, 0.0..max_value)?;
    chart
        .configure_mesh()
        .x_desc("seconds after the start")
        .draw()?;
    for line in lines {
        let style = line.colour.mix(line.opacity).stroke_width(2);
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style))?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style));
    }
    // The events of the scenario are the same for all deployments.
    let events = summary
        .deployments
        .iter()
        .take(1)
        .flat_map(|each| &each.events);
    for result in events {
        let at_s = result.event.at_s;
        let event_line = PathElement::new(vec![(at_s, 0.0), (at_s, max_value)], EVENT_COLOUR);
        chart.draw_series([event_line])?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
