//! An operator's deployment carried over to another shape.
//!
//! The shape is what the fleet and its contract bring: how the register tells, what is allowed, the rules' figures,
//! units, the size of the fleet, the bands, and whether plans have limits. It is read from a deployment of that shape.
//! The operator's own are name, addresses, connections, plans, volumes, band rules, placements and extents. Nothing is
//! dropped in silence: what cannot be carried over and what was filled in is told, each with place and reason.

use std::fmt;
use std::fs;
use std::io::Write as _;
use std::path::{Path, PathBuf};

use quick_xml::events::Event;
use quick_xml::se::Serializer;
use serde::Serialize;
use thiserror::Error as Failure;

use super::{decode, BandForm, Form, FurtherForm, Member};
use crate::{check_schema, load_form, Error};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteKind {
    /// The new shape has no place for it.
    Lost,
    /// Only the new shape has it, or has another figure.
    Filled,
}

/// One thing that differs between the old file and the new: element and attribute, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    pub kind: NoteKind,
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

/// The new file's text, and what there is to tell of it.
#[derive(Debug)]
pub struct Migration {
    pub text: String,
    pub notes: Vec<Note>,
}

impl Migration {
    /// Whether all that the old file said stands in the new one.
    pub fn is_complete(&self) -> bool {
        self.notes.iter().all(|note| note.kind == NoteKind::Filled)
    }

    /// Whether the old file had the new shape before.
    pub fn is_unchanged(&self) -> bool {
        self.notes.is_empty()
    }
}

#[derive(Debug, Failure)]
pub enum WriteError {
    #[error("{0}: is the file that is read; the old file is never written over")]
    Input(PathBuf),
    #[error("{0}: stands already; --force writes over it")]
    Stands(PathBuf),
    #[error("{path}: cannot be written: {source}")]
    Io { path: PathBuf, source: std::io::Error },
}

#[derive(Default)]
struct Notes(Vec<Note>);

impl Notes {
    fn add(&mut self, kind: NoteKind, place: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Note { kind, place: place.into(), reason: reason.into() });
    }

    /// The shape's value in place of the old one.
    fn take<T: PartialEq + fmt::Display>(&mut self, place: &str, old: &mut T, shape: T) {
        if *old != shape {
            self.add(NoteKind::Filled, place, format!("{shape} by the shape, was {old}"));
            *old = shape;
        }
    }
}

/// How little a band may be repeated. A counterpart is never looser: what must not run twice would.
fn strictness(band: &BandForm) -> usize {
    ["repeatable", "tagged", "once-only"].iter().position(|kind| *kind == band.repeat).unwrap_or(2)
}

/// The shape's band for an old one: of the same name, else of the nearest due time.
fn counterpart<'a>(old: &BandForm, shape: &'a [BandForm]) -> Option<&'a BandForm> {
    let fits = |band: &&BandForm| band.writes == old.writes && strictness(band) >= strictness(old);
    let apart = |band: &BandForm| (band.due.max(1e-9) / old.due.max(1e-9)).ln().abs();
    let named = shape.iter().filter(fits).find(|band| band.name == old.name);
    named.or_else(|| shape.iter().filter(fits).min_by(|a, b| apart(a).total_cmp(&apart(b))))
}

fn described(band: &BandForm) -> String {
    let window = if band.window > 0.0 {
        format!(" for {} s in one {}", band.window, band.scope)
    } else {
        String::new()
    };
    let (way, order) =
        (if band.writes { "writes" } else { "reads" }, if band.ordered { ", ordered" } else { "" });
    format!(
        "{way}, {}{window}{order}, due {} s, outer {} s, benefit {}",
        band.repeat, band.due, band.outer, band.benefit
    )
}

fn bands(old: &mut Form, shape: &Form, notes: &mut Notes) {
    let before = std::mem::replace(&mut old.band, shape.band.clone());
    let found: Vec<_> = before.iter().map(|band| (band, counterpart(band, &shape.band))).collect();
    for (band, now) in &found {
        let place = format!("band {}", band.name);
        match now {
            Some(now) if *band == *now => {}
            Some(now) => {
                let reason = format!("now {} ({}), was {}", now.name, described(now), described(band));
                notes.add(NoteKind::Filled, place, reason);
            }
            None => {
                let like = shape.band.iter().find(|known| known.writes == band.writes);
                let taken = like.map_or("no band, and are refused".into(), |known| {
                    format!("band {} ({}), which may send them twice", known.name, known.repeat)
                });
                let reason = format!(
                    "the shape has none that is as strict ({}); its commands would come in {taken}: keep its callers on \
                     the old deployment",
                    described(band)
                );
                notes.add(NoteKind::Lost, place, reason);
            }
        }
    }
    for band in &shape.band {
        if !found.iter().any(|(_, now)| now.is_some_and(|now| now.name == band.name)) {
            let reason = format!("only the shape has it ({})", described(band));
            notes.add(NoteKind::Filled, format!("band {}", band.name), reason);
        }
    }
    old.band_rule.retain_mut(|rule| {
        // A rule for a band that is not there is left as it is: the checks refuse it by name.
        let Some((_, now)) = found.iter().find(|(band, _)| band.name == rule.band) else { return true };
        match now {
            Some(now) => rule.band.clone_from(&now.name),
            None => {
                notes.add(NoteKind::Lost, format!("band-rule {}", rule.band), "its band is not carried over")
            }
        }
        now.is_some()
    });
}

fn plans(old: &mut Form, shape: &Form, notes: &mut Notes) {
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

/// Volumes and placements within the fleet of the shape.
fn volumes(old: &mut Form, notes: &mut Notes) {
    for group in &mut old.volumes {
        let place = |what| format!("volumes of plan {} from {}, {what}", group.plan, group.first);
        for (what, most, value) in [
            ("initiators", old.layout.initiators, &mut group.initiators),
            ("nodes", old.layout.nodes, &mut group.nodes),
        ] {
            if *value > most {
                notes.add(NoteKind::Lost, place(what), format!("{value}: the shape has {most}"));
                *value = most;
            }
        }
    }
    let nodes = old.layout.nodes;
    old.placement.retain(|range| {
        if range.node >= nodes {
            let place = format!("placement of volume {} from {}", range.volume, range.from);
            notes.add(NoteKind::Lost, place, format!("node {}: the shape has {nodes}, from 0", range.node));
        }
        range.node < nodes
    });
}

fn carry(old: &mut Form, shape: &Form, notes: &mut Notes) {
    let mode = |form: &Form| format!("{:?}", form.register.mode).to_lowercase();
    if old.register.mode != shape.register.mode {
        let reason = format!("{} by the shape, was {}", mode(shape), mode(old));
        notes.add(NoteKind::Filled, "register, mode", reason);
        old.register.mode = shape.register.mode;
    }
    notes.take("register, ask-within", &mut old.register.ask_within, shape.register.ask_within);
    let (allow, by) = (&mut old.allow, &shape.allow);
    notes.take("allow, shots", &mut allow.shots, by.shots);
    notes.take("allow, cancel", &mut allow.cancel, by.cancel);
    notes.take("allow, copies", &mut allow.copies, by.copies);
    notes.take("allow, longest-return", &mut allow.longest_return, by.longest_return);
    let (rules, by) = (&mut old.rules, &shape.rules);
    notes.take("rules, answer-slack", &mut rules.answer_slack, by.answer_slack);
    notes.take("rules, drain-grace", &mut rules.drain_grace, by.drain_grace);
    notes.take("rules, start-capacity", &mut rules.start_capacity, by.start_capacity);
    notes.take("rules, cold-for", &mut rules.cold_for, by.cold_for);
    notes.take("rules, fall-multiple", &mut rules.fall_multiple, by.fall_multiple);
    notes.take("rules, overload-for", &mut rules.overload_for, by.overload_for);
    notes.take("rules, young-units", &mut rules.young_units, by.young_units);
    notes.take("rules, key-quiet", &mut rules.key_quiet, by.key_quiet);
    let told = |further: &Option<FurtherForm>| {
        further
            .as_ref()
            .map(|form| format!("{} and {} of those taken in {} s", form.free, form.share, form.look_back))
    };
    match (told(&rules.further), told(&by.further)) {
        (was, now) if was == now => {}
        (Some(was), None) => {
            notes.add(
                NoteKind::Lost,
                "rules, further",
                format!("a budget of {was}: the shape states none (rule 6)"),
            );
        }
        (was, now) => {
            let was = was.map_or("none".into(), |was| format!("a budget of {was}"));
            let reason = format!("a budget of {} by the shape (rule 6), was {was}", now.unwrap_or_default());
            notes.add(NoteKind::Filled, "rules, further", reason);
        }
    }
    rules.further.clone_from(&by.further);
    let (units, by) = (&mut old.units, &shape.units);
    notes.take("units, mean", &mut units.mean, by.mean);
    notes.take("units, most", &mut units.most, by.most);
    notes.take("units, metering", &mut units.metering, by.metering);
    notes.take("units, tells-others", &mut units.tells_others, by.tells_others);
    notes.take("layout, initiators", &mut old.layout.initiators, shape.layout.initiators);
    let most = old.layout.initiators;
    if let Some(talk) = &mut old.fleet {
        let before = talk.member.len();
        talk.member.retain(|member| u32::from(member.number) < most);
        if talk.member.len() < before {
            let reason = format!("{} members: the shape has {most} initiators", before - talk.member.len());
            notes.add(NoteKind::Lost, "fleet, member", reason);
        }
    }
    if old.layout.nodes != shape.layout.nodes {
        let reason =
            "their extents lie on other nodes of another number of them: data is copied before the start";
        notes.add(NoteKind::Filled, "volumes", reason);
    }
    notes.take("layout, nodes", &mut old.layout.nodes, shape.layout.nodes);
    notes.take("layout, zones", &mut old.layout.zones, shape.layout.zones);
    bands(old, shape, notes);
    plans(old, shape, notes);
    volumes(old, notes);
}

/// Comments before the root, which stay; the number of those inside it, which a rewritten file has no place for.
fn comments(text: &str) -> (Vec<String>, usize) {
    let mut reader = quick_xml::Reader::from_str(text);
    let (mut before, mut inside, mut begun) = (Vec::new(), 0, false);
    loop {
        match reader.read_event() {
            Ok(Event::Comment(_)) if begun => inside += 1,
            Ok(Event::Comment(comment)) => before.push(comment.to_string()),
            Ok(Event::Start(_)) => begun = true,
            Ok(Event::Eof) | Err(_) => return (before, inside),
            Ok(_) => {}
        }
    }
}

/// The text of a file of this form, without its comments.
fn written(form: &Form, path: &Path) -> Result<String, Error> {
    let mut body = String::new();
    let mut writer = Serializer::new(&mut body);
    writer.indent(' ', 2);
    form.serialize(writer).map_err(|error| Error::Xml { path: path.into(), message: error.to_string() })?;
    Ok(body)
}

/// The text of the deployment at `path` with a fleet of so many members on loopback addresses of their own, all of one
/// weight: to measure a fleet at another size.
pub fn resize_fleet(path: &Path, members: u16) -> Result<String, Error> {
    let (mut form, _): (Form, _) = load_form(path, "deployment")?;
    form.layout.initiators = u32::from(members);
    let Some(talk) = &mut form.fleet else {
        let (place, found) = ("fleet".into(), "none".into());
        return Err(Error::Check {
            path: path.into(),
            place,
            found,
            rule: "a deployment whose initiators talk".into(),
        });
    };
    let address = |number: u16| {
        let [high, low] = (number + 1).to_be_bytes();
        format!("127.1.{high}.{low}:7300")
    };
    talk.member = (0..members).map(|number| Member { number, address: address(number), weight: 1 }).collect();
    for group in &mut form.volumes {
        group.initiators = group.initiators.min(u32::from(members));
    }
    decode(form.clone()).map_err(|failure| failure.in_file(path))?;
    written(&form, path)
}

/// The counterpart of `old` in the shape of `shape`, checked as at start. Errors name file, place and rule.
pub fn migrate(old: &Path, shape: &Path) -> Result<Migration, Error> {
    let (mut form, text): (Form, _) = load_form(old, "deployment")?;
    // A file that could not be started from is refused before any of it is carried over.
    decode(form.clone()).map_err(|failure| failure.in_file(old))?;
    let (by, _): (Form, _) = load_form(shape, "deployment")?;
    decode(by.clone()).map_err(|failure| failure.in_file(shape))?;
    let mut notes = Notes::default();
    let (before, inside) = comments(&text);
    carry(&mut form, &by, &mut notes);
    if inside > 0 {
        notes.add(
            NoteKind::Lost,
            "comments",
            format!("{inside} inside the deployment: only those before it are kept"),
        );
    }
    let body = written(&form, old)?;
    let before: String = before.iter().map(|comment| format!("<!--{comment}-->\n")).collect();
    let text = format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{before}{body}\n");
    check_schema(old, &text, "deployment")?;
    decode(form).map_err(|failure| failure.in_file(old))?;
    Ok(Migration { text, notes: notes.0 })
}

/// Writes to the side and puts the file in place when whole, so that a kill or a full disk leaves nothing half
/// written. Without `force` another's file is left alone, also one that appears meanwhile.
pub fn write(text: &str, inputs: &[&Path], output: &Path, force: bool) -> Result<(), WriteError> {
    let real = |path: &Path| fs::canonicalize(path).ok();
    if real(output).is_some_and(|at| inputs.iter().any(|input| real(input).as_ref() == Some(&at))) {
        return Err(WriteError::Input(output.into()));
    }
    if !force && output.symlink_metadata().is_ok() {
        return Err(WriteError::Stands(output.into()));
    }
    let io = |source| WriteError::Io { path: output.into(), source };
    let Some(name) = output.file_name() else {
        return Err(io(std::io::Error::other("not the name of a file")));
    };
    let beside = output.with_file_name(format!(".{}.{}.part", name.to_string_lossy(), std::process::id()));
    let whole = || {
        let mut file = fs::File::create(&beside)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        if force {
            fs::rename(&beside, output)
        } else {
            fs::hard_link(&beside, output)
        }
    };
    let done = whole();
    let _ = fs::remove_file(&beside);
    done.map_err(io)
}
