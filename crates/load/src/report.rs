//! Tables of one result and of two compared.

use comfy_table::{presets, CellAlignment, Table};

use crate::account::{Cell, Counts, Key, Kind};
use crate::generator::Verdict;
use crate::result::Outcome;
use crate::stats::{compare, quantile, Block, Difference, Figure, Quantile};

/// Quantiles that tables show.
const QUANTILES: [(f64, &str); 5] =
    [(0.5, "p50"), (0.9, "p90"), (0.99, "p99"), (0.999, "p99.9"), (0.9999, "p99.99")];

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY).set_header(header);
    table
}

fn right(mut table: Table) -> String {
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table.to_string()
}

pub fn milliseconds(seconds: f64) -> String {
    let ms = seconds * 1e3;
    match ms {
        ms if ms >= 100.0 => format!("{ms:.0}"),
        ms if ms >= 1.0 => format!("{ms:.1}"),
        ms => format!("{ms:.3}"),
    }
}

fn told(quantile: Quantile) -> String {
    match quantile {
        Quantile::Told(seconds) => milliseconds(seconds),
        Quantile::Few { samples, .. } => format!("n={samples}"),
    }
}

/// The classes of the tables: every band, plan and group, and all.
fn classes(outcome: &Outcome) -> Vec<(String, Key)> {
    let meta = &outcome.meta;
    let lists = [
        ("band", Kind::Band, &meta.bands),
        ("plan", Kind::Plan, &meta.plans),
        ("group", Kind::Group, &meta.groups),
    ];
    let mut all = Vec::new();
    for (word, kind, names) in lists {
        all.extend(names.iter().enumerate().map(|(at, name)| (format!("{word} {name}"), Key::new(kind, at))));
    }
    all.push(("all".into(), Key::new(Kind::All, 0)));
    all
}

fn counts(outcome: &Outcome) -> Result<String, String> {
    let names = Counts::default().ends().map(|(name, _)| name);
    let mut table = table(&[&["", "offered"], &names[..], &["tries", "goodput %", "benefit %"]].concat());
    for (name, key) in classes(outcome) {
        let counts = outcome.cell(key)?.counts;
        let mut row = vec![name, counts.offered.to_string()];
        row.extend(counts.ends().iter().map(|(_, count)| count.to_string()));
        row.push(counts.tries.to_string());
        row.push(format!("{:.2}", counts.goodput() * 100.0));
        let due = counts.benefit_due;
        row.push(if due > 0.0 { format!("{:.2}", counts.benefit / due * 100.0) } else { "-".into() });
        table.add_row(row);
    }
    Ok(right(table))
}

fn latencies(outcome: &Outcome) -> Result<String, String> {
    let names = QUANTILES.map(|(_, name)| name);
    let mut table = table(&[&["ms to a settled answer"], &names[..], &["most"]].concat());
    for (name, key) in classes(outcome) {
        let cell = outcome.cell(key)?;
        for (histogram, from) in [(&cell.meant, "from when meant"), (&cell.wire, "from when sent")] {
            let mut row = vec![format!("{name}, {from}")];
            row.extend(QUANTILES.map(|(q, _)| told(quantile(histogram, q))));
            row.push(if histogram.is_empty() {
                "-".into()
            } else {
                milliseconds(histogram.max() as f64 / 1e6)
            });
            table.add_row(row);
        }
    }
    Ok(right(table))
}

/// Offered and achieved, and the generator's own lag.
fn brought(outcome: &Outcome, sum: &Cell) -> Result<String, String> {
    let meta = &outcome.meta;
    let counts = &sum.counts;
    let intervals: Vec<u32> =
        outcome.cells.keys().filter(|key| key.kind == Kind::Interval).map(|key| key.interval).collect();
    let seconds = intervals.last().map_or(0.0, |last| f64::from(last + 1) * meta.interval);
    let rate = |count: u64| count as f64 / seconds.max(f64::MIN_POSITIVE);
    let at = |q: f64| milliseconds(sum.lag.value_at_quantile(q) as f64 / 1e6);
    let mut text = format!(
        "offered {:.1} a second over {seconds} s; first and further tries sent {:.1}, settled {:.1}, in time {:.1}\n",
        rate(counts.offered),
        rate(counts.tries),
        rate(counts.settled()),
        rate(counts.in_time),
    );
    text += &format!(
        "generator's lag: p50 {} ms, p99 {} ms, most {} ms; {} answers came after their caller had given up\n",
        at(0.5),
        at(0.99),
        milliseconds(sum.lag.max() as f64 / 1e6),
        counts.stale,
    );
    match outcome.verdict()? {
        Verdict::Brought => text += "the load was brought as meant",
        Verdict::Limited(why) => {
            text += &format!("THE GENERATOR WAS THE LIMIT, not what it loaded: {why}");
        }
    }
    Ok(text)
}

/// All tables of one result.
pub fn tables(outcome: &Outcome) -> Result<String, String> {
    let meta = &outcome.meta;
    let sum = outcome.sum()?;
    let mut text = format!(
        "{}: {}; {}; seed {}; {} s, the first {} s left out of the tables; version {}\n",
        meta.name, meta.arrivals, meta.peers, meta.seed, meta.lasts, meta.warm_up, meta.version
    );
    if let Some(why) = &meta.ended_early {
        text += &format!("ENDED EARLY: {why}\n");
    }
    for missing in &meta.missing {
        text += &format!(
            "MISSING: generator {} of {}: {}; its {} arrivals are in no figure here\n",
            missing.part, meta.parts, missing.why, missing.offered
        );
    }
    text += &format!("{}\n\n{}\n\n{}", counts(outcome)?, latencies(outcome)?, brought(outcome, &sum)?);
    Ok(text)
}

/// Intervals of one band, or of all, without the warm-up.
fn blocks(outcome: &Outcome, band: Option<usize>) -> Result<Vec<Block>, String> {
    let meta = &outcome.meta;
    let wanted = |key: &Key| match band {
        None => key.kind == Kind::Interval,
        Some(band) => key.kind == Kind::Span && key.name as usize == band,
    };
    let after = |key: &Key| f64::from(key.interval) * meta.interval >= meta.warm_up - 1e-9;
    let mut blocks = Vec::new();
    for (_, packed) in outcome.cells.iter().filter(|(key, _)| wanted(key) && after(key)) {
        let cell = packed.cell()?;
        blocks.push(Block::of(&cell.meant, cell.counts.offered, cell.counts.in_time));
    }
    Ok(blocks)
}

/// Two results side by side: goodput and latencies of each band and of all, with 95% intervals of the differences.
pub fn compared(first: &Outcome, second: &Outcome) -> Result<String, String> {
    if first.meta.bands != second.meta.bands {
        return Err(format!("bands {:?} and {:?} are not the same", first.meta.bands, second.meta.bands));
    }
    let mut table = table(&["", "first", "second", "difference", "95% from", "to", ""]);
    let mut kinds: Vec<(String, Option<usize>)> =
        first.meta.bands.iter().enumerate().map(|(at, name)| (format!("band {name}"), Some(at))).collect();
    kinds.push(("all".into(), None));
    for (name, band) in kinds {
        let (one, other) = (blocks(first, band)?, blocks(second, band)?);
        let figures = QUANTILES.map(|(q, word)| (Figure::Quantile(q), format!("{name}, {word} ms")));
        let goodput = [(Figure::Goodput, format!("{name}, goodput %"))];
        for (figure, word) in goodput.into_iter().chain(figures) {
            let show = |value: f64| match figure {
                Figure::Goodput => format!("{:.2}", value * 100.0),
                Figure::Quantile(_) => format!("{:.3}", value * 1e3),
            };
            let difference = compare(&one, &other, figure, 1);
            let clear = difference.clear();
            table.add_row(match difference {
                Difference::Told { first, second, low, high } => vec![
                    word,
                    show(first),
                    show(second),
                    show(second - first),
                    show(low),
                    show(high),
                    if clear { "differs".into() } else { "no difference shown".to_string() },
                ],
                Difference::Few(why) => {
                    let none = || "-".to_string();
                    vec![word, none(), none(), none(), none(), none(), why]
                }
            });
        }
    }
    let mut text = String::new();
    for (which, outcome) in [("first", first), ("second", second)] {
        let meta = &outcome.meta;
        text += &format!("{which}: {}, {}, {}, seed {}\n", meta.name, meta.arrivals, meta.peers, meta.seed);
        if let Verdict::Limited(why) = outcome.verdict()? {
            text += &format!("  its generator was the limit: {why}\n");
        }
    }
    text += &right(table);
    text += "\nintervals by 1000 resamples of whole intervals of the run; with many rows, one in twenty differs by chance";
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::result::tests::outcome;

    #[test]
    fn tables_say_what_is_missing_and_too_few() {
        let mut outcome = outcome();
        outcome.meta.ended_early = Some("stopped after 3.0 s".into());
        let why = "its connection ended".to_string();
        outcome.meta.missing.push(crate::result::Missing { part: 2, offered: 512, why });
        let text = tables(&outcome).unwrap();
        for said in ["ENDED EARLY", "MISSING: generator 2", "512 arrivals", "n=200", "brought as meant"] {
            assert!(text.contains(said), "no '{said}' in\n{text}");
        }
    }

    #[test]
    fn the_same_is_not_different() {
        let text = compared(&outcome(), &outcome()).unwrap();
        assert!(text.contains("no difference shown") && !text.contains("differs\n"), "{text}");
        assert!(text.contains("too few samples"), "{text}");
    }
}
