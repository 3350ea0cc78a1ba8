//! Migration of an operator's deployment to another shape.
//!
//! The shape is the part of a deployment that depends on the fleet and its contract: the mode of the register, what is
//! allowed, the parameters of the rules, the units, the size of the fleet, the bands, and whether plans have limits. It
//! is read from a deployment that has this shape. The name, addresses, connections, plans, volumes, band rules,
//! placements and extents are taken from the operator's file. Each value that cannot be carried over, and each that is
//! filled in from the shape, is reported in a [`Note`] with its place and the reason.

use std::fmt;
use std::fs;
use std::io::Write as _;
use std::path::{Path, PathBuf};

use quick_xml::events::Event;
use quick_xml::se::Serializer;
use serde::Serialize;
use thiserror::Error as ThisError;

use super::{decode, BandForm, Form, FurtherForm, Member};
use crate::{check_schema, load_form, Error};

/// What happened to a value of the old or the new file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteKind {
    /// The old file states it, and the new shape does not allow it.
    Lost,
    /// Only the new shape states it, or states another value.
    Filled,
}

/// One difference between the old file and the new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    pub kind: NoteKind,
    /// Element and attribute.
    pub place: String,
    pub reason: String,
}

impl fmt::Display for Note {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let kind = match self.kind {
            NoteKind::Lost => "not carried over",
            NoteKind::Filled => "filled in",
        };
        write!(out, "{kind}: {}: {}", self.place, self.reason)
    }
}

/// Text of the new file, and its differences from the old one.
#[derive(Debug)]
pub struct Migration {
    pub text: String,
    pub notes: Vec<Note>,
}

impl Migration {
    /// Whether everything that the old file states was carried over.
    pub fn is_complete(&self) -> bool {
        self.notes.iter().all(|note| note.kind == NoteKind::Filled)
    }

    /// Whether the old file already had the new shape.
    pub fn is_unchanged(&self) -> bool {
        self.notes.is_empty()
    }
}

/// Why the new file was not written.
#[derive(Debug, ThisError)]
pub enum WriteError {
    #[error("{0}: is an input file; the old file is never written over")]
    Input(PathBuf),
    #[error("{0}: exists already; --force overwrites it")]
    Exists(PathBuf),
    #[error("{path}: cannot be written: {source}")]
    Io { path: PathBuf, source: std::io::Error },
}

#[derive(Default)]
struct Notes(Vec<Note>);

impl Notes {
    fn add(&mut self, kind: NoteKind, place: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Note { kind, place: place.into(), reason: reason.into() });
    }

    /// Replaces the old value by that of the shape, and notes the change if they differ.
    fn replace<T: PartialEq + fmt::Display>(&mut self, place: &str, old: &mut T, shape: T) {
        if *old != shape {
            self.add(NoteKind::Filled, place, format!("{shape} by the shape, was {old}"));
            *old = shape;
        }
    }
}

/// Rank of a band by how strictly repeats are limited; the strictest has the highest. The counterpart of a band must not
/// rank lower, or commands that must not run twice could be repeated.
fn strictness(band: &BandForm) -> usize {
    ["repeatable", "tagged", "once-only"].iter().position(|kind| *kind == band.repeat).unwrap_or(2)
}

/// The shape's band that replaces an old band: the one of the same name, else the one with the nearest due time by
/// ratio. It has the same direction and is at least as strict.
fn counterpart<'a>(old: &BandForm, shape: &'a [BandForm]) -> Option<&'a BandForm> {
    let is_allowed = |band: &&BandForm| band.writes == old.writes && strictness(band) >= strictness(old);
    let due_distance = |band: &BandForm| (band.due.max(1e-9) / old.due.max(1e-9)).ln().abs();
    let same_name = shape.iter().filter(is_allowed).find(|band| band.name == old.name);
    same_name.or_else(|| {
        shape.iter().filter(is_allowed).min_by(|a, b| due_distance(a).total_cmp(&due_distance(b)))
    })
}

fn describe(band: &BandForm) -> String {
    let window = if band.window > 0.0 {
        format!(" for {} s in one {}", band.window, band.scope)
    } else {
        String::new()
    };
    let (direction, order) =
        (if band.writes { "writes" } else { "reads" }, if band.ordered { ", ordered" } else { "" });
    format!(
        "{direction}, {}{window}{order}, due {} s, outer {} s, benefit {}",
        band.repeat, band.due, band.outer, band.benefit
    )
}

/// Replaces the bands by those of the shape, and lets band rules refer to the counterparts of their bands.
fn migrate_bands(old: &mut Form, shape: &Form, notes: &mut Notes) {
    let old_bands = std::mem::replace(&mut old.band, shape.band.clone());
    let counterparts: Vec<_> = old_bands.iter().map(|band| (band, counterpart(band, &shape.band))).collect();
    for (band, new_band) in &counterparts {
        let place = format!("band {}", band.name);
        match new_band {
            Some(new_band) if *band == *new_band => {}
            Some(new_band) => {
                let reason =
                    format!("now {} ({}), was {}", new_band.name, describe(new_band), describe(band));
                notes.add(NoteKind::Filled, place, reason);
            }
            None => {
                let same_direction = shape.band.iter().find(|candidate| candidate.writes == band.writes);
                let accepted_in = same_direction.map_or("no band, and are refused".into(), |fallback| {
                    format!("band {} ({}), which may send them twice", fallback.name, fallback.repeat)
                });
                let reason = format!(
                    "the shape has none that is as strict ({}); its commands would be assigned to {accepted_in}: \
                     keep its callers on the old deployment",
                    describe(band)
                );
                notes.add(NoteKind::Lost, place, reason);
            }
        }
    }
    for band in &shape.band {
        if !counterparts
            .iter()
            .any(|(_, new_band)| new_band.is_some_and(|new_band| new_band.name == band.name))
        {
            let reason = format!("only the shape has it ({})", describe(band));
            notes.add(NoteKind::Filled, format!("band {}", band.name), reason);
        }
    }
    old.band_rule.retain_mut(|rule| {
        // A rule for an unknown band is kept, so that the checks refuse it with its name.
        let Some((_, new_band)) = counterparts.iter().find(|(band, _)| band.name == rule.band) else {
            return true;
        };
        match new_band {
            Some(new_band) => rule.band.clone_from(&new_band.name),
            None => {
                notes.add(NoteKind::Lost, format!("band-rule {}", rule.band), "its band is not carried over")
            }
        }
        new_band.is_some()
    });
}

/// Removes the limits of plans if no plan of the shape has one.
fn migrate_plans(old: &mut Form, shape: &Form, notes: &mut Notes) {
    if shape.plan.iter().any(|plan| plan.limit > 0.0) {
        return;
    }
    for plan in old.plan.iter_mut().filter(|plan| plan.limit > 0.0) {
        let reason = format!(
            "limit {}, burst {}, slack {}: no plan of the shape has a limit (rule 7 asks nothing there)",
            plan.limit, plan.burst, plan.slack
        );
        notes.add(NoteKind::Lost, format!("plan {}", plan.name), reason);
        (plan.limit, plan.burst, plan.slack) = (0.0, 0.0, 0.0);
    }
}

/// Reduces volumes to the size of the shape's fleet, and removes placements on nodes that it does not have.
fn migrate_volumes(old: &mut Form, notes: &mut Notes) {
    for group in &mut old.volumes {
        let place = |attribute| format!("volumes of plan {} from {}, {attribute}", group.plan, group.first);
        for (attribute, max, value) in [
            ("initiators", old.layout.initiators, &mut group.initiators),
            ("nodes", old.layout.nodes, &mut group.nodes),
        ] {
            if *value > max {
                notes.add(NoteKind::Lost, place(attribute), format!("{value}: the shape has {max}"));
                *value = max;
            }
        }
    }
    let nodes = old.layout.nodes;
    old.placement.retain(|placement| {
        if placement.node >= nodes {
            let place = format!("placement of volume {} from {}", placement.volume, placement.from);
            notes.add(
                NoteKind::Lost,
                place,
                format!("node {}: the shape has {nodes}, from 0", placement.node),
            );
        }
        placement.node < nodes
    });
}

/// Gives the old deployment the new shape, and notes each difference.
fn apply_shape(old: &mut Form, shape: &Form, notes: &mut Notes) {
    let mode_name = |form: &Form| format!("{:?}", form.register.mode).to_lowercase();
    if old.register.mode != shape.register.mode {
        let reason = format!("{} by the shape, was {}", mode_name(shape), mode_name(old));
        notes.add(NoteKind::Filled, "register, mode", reason);
        old.register.mode = shape.register.mode;
    }
    notes.replace("register, ask-within", &mut old.register.ask_within, shape.register.ask_within);
    let (allow, target) = (&mut old.allow, &shape.allow);
    notes.replace("allow, shots", &mut allow.shots, target.shots);
    notes.replace("allow, cancel", &mut allow.cancel, target.cancel);
    notes.replace("allow, copies", &mut allow.copies, target.copies);
    notes.replace("allow, longest-return", &mut allow.longest_return, target.longest_return);
    let (rules, target) = (&mut old.rules, &shape.rules);
    notes.replace("rules, answer-slack", &mut rules.answer_slack, target.answer_slack);
    notes.replace("rules, drain-grace", &mut rules.drain_grace, target.drain_grace);
    notes.replace("rules, start-capacity", &mut rules.start_capacity, target.start_capacity);
    notes.replace("rules, cold-for", &mut rules.cold_for, target.cold_for);
    notes.replace("rules, fall-multiple", &mut rules.fall_multiple, target.fall_multiple);
    notes.replace("rules, overload-for", &mut rules.overload_for, target.overload_for);
    notes.replace("rules, young-units", &mut rules.young_units, target.young_units);
    notes.replace("rules, key-quiet", &mut rules.key_quiet, target.key_quiet);
    let describe_budget = |further: &Option<FurtherForm>| {
        further
            .as_ref()
            .map(|form| format!("{} and {} of those taken in {} s", form.free, form.share, form.look_back))
    };
    match (describe_budget(&rules.further), describe_budget(&target.further)) {
        (old_budget, new_budget) if old_budget == new_budget => {}
        (Some(old_budget), None) => {
            notes.add(
                NoteKind::Lost,
                "rules, further",
                format!("a budget of {old_budget}: the shape states none (rule 6)"),
            );
        }
        (old_budget, new_budget) => {
            let old_budget = old_budget.map_or("none".into(), |budget| format!("a budget of {budget}"));
            let reason = format!(
                "a budget of {} by the shape (rule 6), was {old_budget}",
                new_budget.unwrap_or_default()
            );
            notes.add(NoteKind::Filled, "rules, further", reason);
        }
    }
    rules.further.clone_from(&target.further);
    let (units, target) = (&mut old.units, &shape.units);
    notes.replace("units, mean", &mut units.mean, target.mean);
    notes.replace("units, most", &mut units.most, target.most);
    notes.replace("units, metering", &mut units.metering, target.metering);
    notes.replace("units, tells-others", &mut units.reports_others_usage, target.reports_others_usage);
    notes.replace("layout, initiators", &mut old.layout.initiators, shape.layout.initiators);
    let max_members = old.layout.initiators;
    if let Some(fleet) = &mut old.fleet {
        let old_count = fleet.member.len();
        fleet.member.retain(|member| u32::from(member.number) < max_members);
        if fleet.member.len() < old_count {
            let reason =
                format!("{} members: the shape has {max_members} initiators", old_count - fleet.member.len());
            notes.add(NoteKind::Lost, "fleet, member", reason);
        }
    }
    if old.layout.nodes != shape.layout.nodes {
        let reason =
            "their extents lie on other nodes of another number of them: data is copied before the start";
        notes.add(NoteKind::Filled, "volumes", reason);
    }
    notes.replace("layout, nodes", &mut old.layout.nodes, shape.layout.nodes);
    notes.replace("layout, zones", &mut old.layout.zones, shape.layout.zones);
    migrate_bands(old, shape, notes);
    migrate_plans(old, shape, notes);
    migrate_volumes(old, notes);
}

/// The comments before the root element, which are kept, and the number of those inside it, which are lost when the file
/// is rewritten.
fn comments(text: &str) -> (Vec<String>, usize) {
    let mut reader = quick_xml::Reader::from_str(text);
    let (mut before, mut inside, mut in_root) = (Vec::new(), 0, false);
    loop {
        match reader.read_event() {
            Ok(Event::Comment(_)) if in_root => inside += 1,
            Ok(Event::Comment(comment)) => before.push(comment.to_string()),
            Ok(Event::Start(_)) => in_root = true,
            Ok(Event::Eof) | Err(_) => return (before, inside),
            Ok(_) => {}
        }
    }
}

/// Serializes a deployment as XML without comments.
fn serialize(form: &Form, path: &Path) -> Result<String, Error> {
    let mut body = String::new();
    let mut writer = Serializer::new(&mut body);
    writer.indent(' ', 2);
    form.serialize(writer).map_err(|error| Error::Xml { path: path.into(), message: error.to_string() })?;
    Ok(body)
}

/// Returns the text of the deployment at `path` with a fleet of `members` members, to measure a fleet of another size.
/// Each member has a loopback address of its own, and all have the same weight.
pub fn resize_fleet(path: &Path, members: u16) -> Result<String, Error> {
    let (mut form, _): (Form, _) = load_form(path, "deployment")?;
    form.layout.initiators = u32::from(members);
    let Some(fleet) = &mut form.fleet else {
        let (place, found) = ("fleet".into(), "none".into());
        return Err(Error::Check {
            path: path.into(),
            place,
            found,
            rule: "a deployment with a fleet".into(),
        });
    };
    let address = |number: u16| {
        let [high, low] = (number + 1).to_be_bytes();
        format!("127.1.{high}.{low}:7300")
    };
    fleet.member =
        (0..members).map(|number| Member { number, address: address(number), weight: 1 }).collect();
    for group in &mut form.volumes {
        group.initiators = group.initiators.min(u32::from(members));
    }
    decode(form.clone()).map_err(|failure| failure.in_file(path))?;
    serialize(&form, path)
}

/// Migrates the deployment at `old` to the shape of the deployment at `shape`. Both files and the result are checked as
/// when a gateway starts. Errors name the file, the place and the rule.
pub fn migrate(old: &Path, shape: &Path) -> Result<Migration, Error> {
    let (mut form, text): (Form, _) = load_form(old, "deployment")?;
    // A file with which a gateway could not start is refused before the migration.
    decode(form.clone()).map_err(|failure| failure.in_file(old))?;
    let (shape_form, _): (Form, _) = load_form(shape, "deployment")?;
    decode(shape_form.clone()).map_err(|failure| failure.in_file(shape))?;
    let mut notes = Notes::default();
    let (before, inside) = comments(&text);
    apply_shape(&mut form, &shape_form, &mut notes);
    if inside > 0 {
        notes.add(
            NoteKind::Lost,
            "comments",
            format!("{inside} inside the deployment: only those before it are kept"),
        );
    }
    let body = serialize(&form, old)?;
    let before: String = before.iter().map(|comment| format!("<!--{comment}-->\n")).collect();
    let text = format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{before}{body}\n");
    check_schema(old, &text, "deployment")?;
    decode(form).map_err(|failure| failure.in_file(old))?;
    Ok(Migration { text, notes: notes.0 })
}

/// Writes the text to a temporary file beside `output` and then moves it into place, so that a kill or a full disk leaves
/// no incomplete file. Without `force` an existing file is not replaced, even if it is created during the write.
pub fn write(text: &str, inputs: &[&Path], output: &Path, force: bool) -> Result<(), WriteError> {
    let canonical = |path: &Path| fs::canonicalize(path).ok();
    if canonical(output)
        .is_some_and(|path| inputs.iter().any(|input| canonical(input).as_ref() == Some(&path)))
    {
        return Err(WriteError::Input(output.into()));
    }
    if !force && output.symlink_metadata().is_ok() {
        return Err(WriteError::Exists(output.into()));
    }
    let io_error = |source| WriteError::Io { path: output.into(), source };
    let Some(name) = output.file_name() else {
        return Err(io_error(std::io::Error::other("not the name of a file")));
    };
    let temporary = output.with_file_name(format!(".{}.{}.part", name.to_string_lossy(), std::process::id()));
    let write_and_move = || {
        let mut file = fs::File::create(&temporary)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        if force {
            fs::rename(&temporary, output)
        } else {
            fs::hard_link(&temporary, output)
        }
    };
    let result = write_and_move();
    let _ = fs::remove_file(&temporary);
    result.map_err(io_error)
}
