//! SVG charts of one result: latency over time, its distribution, throughput by answer, shares against weights.

use std::path::{Path, PathBuf};

use plotters::coord::ranged1d::Ranged;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::account::{Cell, Key, Kind};
use crate::result::Outcome;
use crate::stats::{quantile, tells, Quantile};

const SIZE: (u32, u32) = (900, 480);
const FONT: &str = "sans-serif";
/// Told apart in grey too: lightness differs.
const COLORS: [RGBColor; 6] = [
    RGBColor(0, 90, 160),
    RGBColor(230, 120, 0),
    RGBColor(40, 140, 60),
    RGBColor(170, 30, 60),
    RGBColor(110, 80, 160),
    RGBColor(90, 90, 90),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn wrong(error: impl std::fmt::Display) -> String {
    format!("chart: {error}")
}

/// Intervals of one kind in order, as times in seconds and cells.
fn intervals(outcome: &Outcome, kind: Kind, name: u32) -> Result<Vec<(f64, Cell)>, String> {
    let own = outcome.cells.iter().filter(|(key, _)| key.kind == kind && key.name == name);
    own.map(|(key, packed)| Ok((f64::from(key.interval) * outcome.meta.interval, packed.cell()?))).collect()
}

fn title(outcome: &Outcome, what: &str) -> String {
    format!("{what}: {} ({}; {})", outcome.meta.name, outcome.meta.arrivals, outcome.meta.peers)
}

fn caption(area: &Area, text: &str) -> Result<(), String> {
    let style = (FONT, 17).into_font();
    area.draw(&Text::new(text.to_string(), (12, 8), style)).map_err(wrong)
}

/// Axis ends on a log scale that hold these values, milliseconds.
fn decades(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let (mut low, mut high) = (f64::INFINITY, 0.0f64);
    for value in values.filter(|value| *value > 0.0) {
        (low, high) = (low.min(value), high.max(value));
    }
    if high == 0.0 {
        return (0.1, 1.0);
    }
    let (low, high) = (10f64.powf(low.log10().floor()), 10f64.powf(high.log10().ceil()));
    (low, if high > low { high } else { low * 10.0 })
}

fn plain(value: &f64) -> String {
    if *value >= 1.0 {
        format!("{value:.0}")
    } else {
        format!("{value}")
    }
}

/// Most intervals that one point of the latency chart takes together so that it tells its 99th percentile.
const MOST_TOGETHER: usize = 10;

/// Intervals taken together, as few as let nine in ten tell their 99th percentile.
fn together(cells: Vec<(f64, Cell)>) -> (usize, Vec<(f64, Cell)>) {
    let merged = |count: usize| -> Vec<(f64, Cell)> {
        let merge = |chunk: &[(f64, Cell)]| {
            let mut sum = Cell::default();
            chunk.iter().for_each(|(_, cell)| sum.add(cell));
            (chunk[0].0, sum)
        };
        cells.chunks(count).map(merge).collect()
    };
    let enough = |count: &usize| {
        let merged = merged(*count);
        let told = merged.iter().filter(|(_, cell)| tells(cell.meant.len(), 0.99)).count();
        told * 10 >= merged.len() * 9
    };
    let count = (1..=MOST_TOGETHER).find(enough).unwrap_or(MOST_TOGETHER);
    (count, merged(count))
}

/// Percentile bands over time, from the intended time on. A point too thin for a percentile shows none.
fn over_time(outcome: &Outcome, area: &Area) -> Result<(), String> {
    let (count, cells) = together(intervals(outcome, Kind::Interval, 0)?);
    let width = outcome.meta.interval * count as f64;
    caption(area, &title(outcome, &format!("Latency from the intended time, {width} s a point")))?;
    let line = |q: f64| -> Vec<(f64, f64)> {
        let told = cells.iter().filter_map(|(at, cell)| match quantile(&cell.meant, q) {
            Quantile::Told(seconds) => Some((at + width / 2.0, (seconds * 1e3).max(1e-3))),
            Quantile::Few { .. } => None,
        });
        told.collect()
    };
    let most: Vec<(f64, f64)> = (cells.iter().filter(|(_, cell)| !cell.meant.is_empty()))
        .map(|(at, cell)| (at + width / 2.0, cell.meant.max() as f64 / 1e3))
        .collect();
    let lines = [("p50", line(0.5)), ("p90", line(0.9)), ("p99", line(0.99)), ("most", most)];
    let (low, high) = decades(lines.iter().flat_map(|(_, line)| line.iter().map(|point| point.1)));
    let end = cells.last().map_or(1.0, |(at, _)| at + width);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .margin_top(36)
        .margin_right(30)
        .x_label_area_size(42)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..end, (low..high).log_scale())
        .map_err(wrong)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("seconds from the start of the load")
        .y_desc("milliseconds, log scale")
        .y_label_formatter(&plain)
        .label_style((FONT, 14))
        .draw()
        .map_err(wrong)?;
    for at in [1, 2] {
        // Between one percentile and the next.
        let (under, over) = (&lines[at - 1].1, &lines[at].1);
        if under.is_empty() || over.is_empty() {
            continue;
        }
        // Only where both are told.
        let there = |line: &[(f64, f64)], at: f64| line.iter().any(|point| point.0 == at);
        let low = under.iter().filter(|point| there(over, point.0)).copied();
        let high = over.iter().rev().filter(|point| there(under, point.0)).copied();
        let outline: Vec<(f64, f64)> = low.chain(high).collect();
        let shade = COLORS[0].mix(if at == 1 { 0.30 } else { 0.13 });
        chart.draw_series(std::iter::once(Polygon::new(outline, shade))).map_err(wrong)?;
    }
    let colors = [COLORS[0], COLORS[2], COLORS[1], COLORS[3]];
    for ((name, line), color) in lines.into_iter().zip(colors) {
        let style = color.stroke_width(2);
        let drawn = chart.draw_series(LineSeries::new(line, style)).map_err(wrong)?;
        drawn.label(name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
    }
    legend(&mut chart, SeriesLabelPosition::UpperRight)
}

fn legend<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>, place: SeriesLabelPosition,
) -> Result<(), String>
where
    X: Ranged,
    Y: Ranged,
{
    chart
        .configure_series_labels()
        .position(place)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .label_font((FONT, 14))
        .draw()
        .map_err(wrong)
}

/// The part of answers that took longer, on log scales, for each band.
fn distribution(outcome: &Outcome, area: &Area) -> Result<(), String> {
    caption(area, &title(outcome, "Settled answers that took longer"))?;
    let mut lines = Vec::new();
    for (at, name) in outcome.meta.bands.iter().enumerate() {
        let cell = outcome.cell(Key::new(Kind::Band, at))?;
        for (histogram, from) in [(&cell.meant, "meant"), (&cell.wire, "sent")] {
            let all = histogram.len() as f64;
            let mut seen = 0;
            let mut line = Vec::new();
            for step in histogram.iter_recorded() {
                let left = (all - seen as f64) / all;
                let x = (step.value_iterated_to() as f64 / 1e3).max(1e-3);
                // Points that no eye tells apart only make the file large.
                let apart = |last: &(f64, f64)| x > 1.01 * last.0 || left < 0.99 * last.1;
                if line.last().is_none_or(apart) {
                    line.push((x, left));
                }
                seen += step.count_at_value();
            }
            if !line.is_empty() {
                lines.push((
                    format!("{name}, from when {from}"),
                    line,
                    COLORS[at % COLORS.len()],
                    from == "meant",
                ));
            }
        }
    }
    let (low, high) = decades(lines.iter().flat_map(|(_, line, ..)| line.iter().map(|point| point.0)));
    let least = lines.iter().flat_map(|(_, line, ..)| line.iter().map(|point| point.1)).fold(0.1, f64::min);
    let least = 10f64.powf(least.log10().floor());
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .margin_top(36)
        .margin_right(30)
        .x_label_area_size(42)
        .y_label_area_size(72)
        .build_cartesian_2d((low..high).log_scale(), (least..1.0).log_scale())
        .map_err(wrong)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("milliseconds, log scale")
        .y_desc("part that took longer, log scale")
        .x_label_formatter(&plain)
        .y_label_formatter(&|part: &f64| format!("{part}"))
        .label_style((FONT, 14))
        .draw()
        .map_err(wrong)?;
    for (name, line, color, meant) in lines {
        let style = if meant { color.stroke_width(2) } else { color.mix(0.45).stroke_width(1) };
        let drawn = chart.draw_series(LineSeries::new(line, style)).map_err(wrong)?;
        drawn.label(name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
    }
    legend(&mut chart, SeriesLabelPosition::LowerLeft)
}

/// Ends of operations a second, one upon the other, and what was offered.
fn throughput(outcome: &Outcome, area: &Area) -> Result<(), String> {
    caption(area, &title(outcome, "Operations by how they ended"))?;
    let cells = intervals(outcome, Kind::Interval, 0)?;
    let interval = outcome.meta.interval;
    let names = ["in time", "late", "declined", "scrapped", "given up or cut", "not sent by the generator"];
    let parts = |cell: &Cell| -> [u64; 6] {
        let counts = &cell.counts;
        let given_up = counts.left + counts.cut + counts.unanswered + counts.unsent + counts.lost;
        [counts.in_time, counts.late, counts.declined, counts.scrapped, given_up, counts.not_sent_by_us()]
    };
    let end = cells.last().map_or(1.0, |(at, _)| at + interval);
    let rate = |count: u64| count as f64 / interval;
    let most = cells.iter().map(|(_, cell)| rate(cell.counts.offered)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .margin_top(36)
        .margin_right(30)
        .x_label_area_size(42)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..end, 0.0..most * 1.5)
        .map_err(wrong)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("seconds from the start of the load, by when an operation was meant")
        .y_desc("operations a second")
        .label_style((FONT, 14))
        .draw()
        .map_err(wrong)?;
    let colors = [COLORS[2], COLORS[1], COLORS[0], COLORS[3], COLORS[4], COLORS[5]];
    for (nth, name) in names.iter().enumerate() {
        let total: u64 = cells.iter().map(|(_, cell)| parts(cell)[nth]).sum();
        if total == 0 {
            continue;
        }
        let style = colors[nth].mix(0.75).filled();
        let bars = cells.iter().map(|(at, cell)| {
            let parts = parts(cell);
            let under: u64 = parts[..nth].iter().sum();
            Rectangle::new([(*at, rate(under)), (at + interval, rate(under + parts[nth]))], style)
        });
        let drawn = chart.draw_series(bars).map_err(wrong)?;
        drawn.label(*name).legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 18, y + 5)], style));
    }
    let offered = cells.iter().flat_map(|(at, cell)| {
        let rate = rate(cell.counts.offered);
        [(*at, rate), (at + interval, rate)]
    });
    let style = BLACK.stroke_width(2);
    let drawn = chart.draw_series(LineSeries::new(offered, style)).map_err(wrong)?;
    drawn.label("offered").legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
    legend(&mut chart, SeriesLabelPosition::UpperRight)
}

/// Each plan's part in weights, in offered units, in units served in time and in benefit.
fn shares(outcome: &Outcome, area: &Area) -> Result<(), String> {
    caption(area, &title(outcome, "Plans' parts against their weights"))?;
    let meta = &outcome.meta;
    let plans = meta.plans.len();
    let mut sums = vec![[0.0f64; 3]; plans];
    for (volume, plan) in &meta.volumes {
        let (Some(served), Some(sum)) = (outcome.volumes.get(volume), sums.get_mut(*plan as usize)) else {
            continue;
        };
        sum[0] += served.units as f64;
        sum[1] += served.units_in_time as f64;
        sum[2] += served.benefit;
    }
    let all: Vec<f64> =
        (0..3).map(|nth| sums.iter().map(|sum| sum[nth]).sum::<f64>().max(f64::MIN_POSITIVE)).collect();
    let names = ["weight", "units offered", "units served in time", "benefit"];
    let part = |plan: usize, nth: usize| match nth {
        0 => meta.weights.get(plan).copied().unwrap_or(0.0),
        nth => sums[plan][nth - 1] / all[nth - 1],
    };
    let most =
        (0..plans).flat_map(|plan| (0..4).map(move |nth| (plan, nth))).map(|(plan, nth)| part(plan, nth));
    let most = most.fold(0.01, f64::max) * 100.0;
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .margin_top(36)
        .margin_right(30)
        .x_label_area_size(42)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..plans.max(1) as f64, 0.0..most * 1.35)
        .map_err(wrong)?;
    let label = |at: &f64| {
        let plan = (at - 0.5).round() as usize;
        let middle = (at - 0.5 - plan as f64).abs() < 1e-6;
        meta.plans.get(plan).filter(|_| middle).cloned().unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(WHITE)
        .x_labels(plans * 2 + 1)
        .x_label_formatter(&label)
        .x_desc("plan, all its volumes together")
        .y_desc("part of all plans, %")
        .label_style((FONT, 14))
        .draw()
        .map_err(wrong)?;
    for (nth, name) in names.iter().enumerate() {
        let style = COLORS[[5, 0, 2, 1][nth]].mix(0.8).filled();
        let bars = (0..plans).map(|plan| {
            let left = plan as f64 + 0.14 + 0.18 * nth as f64;
            Rectangle::new([(left, 0.0), (left + 0.16, part(plan, nth) * 100.0)], style)
        });
        let drawn = chart.draw_series(bars).map_err(wrong)?;
        drawn.label(*name).legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 18, y + 5)], style));
    }
    legend(&mut chart, SeriesLabelPosition::UpperRight)
}

/// Draws all charts into a folder; their paths.
pub fn draw(outcome: &Outcome, folder: &Path) -> Result<Vec<PathBuf>, String> {
    type Chart = fn(&Outcome, &Area) -> Result<(), String>;
    let charts: [(&str, Chart); 4] = [
        ("latency", over_time),
        ("distribution", distribution),
        ("throughput", throughput),
        ("shares", shares),
    ];
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let mut paths = Vec::new();
    for (name, chart) in charts {
        let path = folder.join(format!("{name}.svg"));
        let area = SVGBackend::new(&path, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(wrong)?;
        chart(outcome, &area)?;
        area.present().map_err(wrong)?;
        drop(area);
        paths.push(path);
    }
    Ok(paths)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::result::tests::{meta, outcome};

    #[test]
    fn every_chart_has_axes_units_and_a_legend() {
        let folder = std::env::temp_dir().join(format!("quaypath-charts-{}", std::process::id()));
        let paths = draw(&outcome(), &folder).unwrap();
        let said = [
            ["milliseconds", "p99"],
            ["took longer", "purchase"],
            ["a second", "in time"],
            ["weight", "gold"],
        ];
        for (path, said) in paths.iter().zip(said) {
            let text = std::fs::read_to_string(path).unwrap();
            assert!(said.iter().all(|word| text.contains(word)), "{}: {said:?}", path.display());
        }
        // Nothing at all is drawn as nothing, with no panic.
        draw(&Outcome::of(meta(), &Default::default()), &folder).unwrap();
        let _ = std::fs::remove_dir_all(folder);
    }
}
