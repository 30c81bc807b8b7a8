//! Draws plots of a replay over time.

use std::error::Error as StdError;
use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea as _;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::style::BLACK;
use plotters::style::Color as _;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use super::DrawSnafu;
use super::Error;
use crate::replay::tally::Sample;

/// Window over which cache reuse is computed.
pub const WINDOW_MS: u64 = 3_000;
/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 360);
/// Height of the labels in pixels.
const LABEL_HEIGHT: i32 = 30;

type Line = (String, Vec<(f64, f64)>);

/// Draws the outstanding work of each engine.
pub fn loads(path: &Path, samples: &[Sample]) -> Result<(), Error> {
    let engines = samples.first().map_or(0, |sample| sample.loads.len());
    let point = |sample: &Sample, engine: usize| {
        let load = sample.loads.get(engine).copied().flatten();
        (sample.at_ms as f64 / 1e3, load.unwrap_or(0) as f64)
    };
    let line = |engine| {
        let points = samples.iter().map(|sample| point(sample, engine)).collect();
        (format!("{engine:03}"), points)
    };
    let lines: Vec<Line> = (0..engines).map(line).collect();
    draw(path, "work outstanding by engine", &lines)
}

/// Draws the cache reuse of several replays.
pub fn reuse(path: &Path, replays: &[(&str, &[Sample])]) -> Result<(), Error> {
    let line = |(name, samples): &(&str, &[Sample])| ((*name).to_owned(), windows(samples));
    let lines: Vec<Line> = replays.iter().map(line).collect();
    draw(path, "cache reuse", &lines)
}

fn windows(samples: &[Sample]) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for window in samples.chunk_by(|left, right| left.at_ms / WINDOW_MS == right.at_ms / WINDOW_MS)
    {
        let reusable: u64 = window.iter().map(|sample| sample.reusable).sum();
        let reused: u64 = window.iter().map(|sample| sample.reused).sum();
        if reusable > 0 {
            let at = window[0].at_ms as f64 / 1e3;
            points.push((at, reused as f64 / reusable as f64));
        }
    }
    points
}

fn draw(path: &Path, caption: &str, lines: &[Line]) -> Result<(), Error> {
    try_draw(path, caption, lines).map_err(|error| {
        let reason = error.to_string();
        DrawSnafu { path, reason }.build()
    })
}

fn try_draw(path: &Path, caption: &str, lines: &[Line]) -> Result<(), Box<dyn StdError>> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let end = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .caption(caption, ("sans-serif", 18))
        .x_label_area_size(LABEL_HEIGHT)
        .y_label_area_size(LABEL_HEIGHT * 2)
        .build_cartesian_2d(0.0..end, 0.0..top * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
