//! The text wire: decoded fields go straight into calls of the core, its actions straight into lines.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::str::FromStr;
use std::sync::Arc;

use quaypath::scheduler::Scheduler;
use quaypath::types::{
    BandId, BlockId, ExtentId, LimitBalance, LimitId, ListKind, ListedNode, NodeCondition, NodeId, Outbox,
    Outcome, PeerReport, PlanId, TransactionId, VolumeId,
};
use quaypath_fleet::lending::{lender_hold, Ledger};
use quaypath_fleet::signal::{NodeReport, SignalConfig, SignalHost, Signals};
use quaypath_fleet::MemberId;
use quaypath_settings::pairs::{self, Names, Pairs};

/// Tag of the signals' timer: one that the core never sets.
const SIGNALS: u64 = u64::MAX >> 1;

/// The lines that one instance answers with; `BY` goes out before its first one.
struct Reply<'a> {
    text: &'a mut String,
    initiator: &'a str,
    named: &'a mut bool,
    /// What the core saw of nodes in this event.
    seen: Vec<(BlockId, f64)>,
}

impl Reply<'_> {
    fn line(&mut self, line: std::fmt::Arguments) {
        if !*self.named {
            let _ = writeln!(self.text, "BY {}", self.initiator);
            *self.named = true;
        }
        let _ = self.text.write_fmt(line);
        self.text.push('\n');
    }
}

impl Outbox for Reply<'_> {
    fn send(&mut self, transaction: TransactionId, stop_at: f64, node: &NodeId) {
        self.line(format_args!("FORWARD {} {stop_at:.6} {}", transaction.0, node.0));
    }
    fn cancel(&mut self, transaction: TransactionId, shot: u32) {
        self.line(format_args!("RETRACT {} {shot}", transaction.0));
    }
    fn decline(&mut self, transaction: TransactionId, come_back: f64) {
        self.line(format_args!("SAY_NO {} {come_back:.6}", transaction.0));
    }
    fn scrap(&mut self, transaction: TransactionId) {
        self.line(format_args!("FINISH_ERROR {}", transaction.0));
    }
    fn set_timer(&mut self, after: f64, tag: u64) {
        self.line(format_args!("SET_TIMER {after:.6} {tag}"));
    }
    fn subscribe(&mut self, on: bool) {
        self.line(format_args!("KEEP_INFORMED {}", u8::from(on)));
    }
    fn fetch_node_list(&mut self) {
        self.line(format_args!("LOOKUP"));
    }
    fn probe(&mut self, node: &NodeId) {
        self.line(format_args!("PROBE {}", node.0));
    }
    fn close(&mut self, node: &NodeId) {
        self.line(format_args!("CLOSE {}", node.0));
    }
    fn send_to_peer(&mut self, initiator: Option<u64>, payload: &[u8]) {
        let hex: String = payload.iter().map(|byte| format!("{byte:02x}")).collect();
        match initiator {
            Some(one) => self.line(format_args!("SIGNAL {one} {hex}")),
            None => self.line(format_args!("SIGNAL all {hex}")),
        }
    }
    fn latency_observed(&mut self, block: BlockId, stay: f64) {
        self.seen.push((block, stay));
    }
    fn log(&mut self, text: &str) {
        self.line(format_args!("DEBUG {}", text.replace(['\n', '\r'], " ")));
    }
}

/// One decoded line: the message's name and its values, read by position.
struct Fields<'a> {
    name: &'a str,
    values: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    fn split(line: &'a str) -> Self {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        let values = if rest.is_empty() { Vec::new() } else { rest.split(' ').collect() };
        Fields { name, values }
    }

    fn exactly(&self, count: usize) -> Result<(), String> {
        if self.values.len() == count {
            return Ok(());
        }
        Err(format!("{}: {} fields, {count} expected", self.name, self.values.len()))
    }

    fn text(&self, at: usize) -> Option<&'a str> {
        self.values.get(at).copied().filter(|text| *text != "-" && !text.is_empty())
    }

    fn value<T: FromStr>(&self, at: usize, field: &str) -> Result<Option<T>, String> {
        match self.text(at) {
            None => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(format!("{}: field {field}: cannot read '{text}'", self.name)),
            },
        }
    }

    fn needed<T: FromStr>(&self, at: usize, field: &str) -> Result<T, String> {
        self.value(at, field)?.ok_or_else(|| format!("{}: field {field} is missing", self.name))
    }

    fn time(&self, at: usize, field: &str) -> Result<f64, String> {
        let time: f64 = self.value(at, field)?.unwrap_or(0.0);
        if time.is_finite() {
            return Ok(time);
        }
        Err(format!("{}: field {field}: not a finite number", self.name))
    }

    fn flag(&self, at: usize, field: &str) -> Result<bool, String> {
        match self.text(at) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("{}: field {field}: cannot read '{other}'", self.name)),
        }
    }

    fn node(&self, at: usize) -> Result<NodeId, String> {
        Ok(NodeId(Arc::from(self.needed::<String>(at, "Target")?)))
    }

    fn outcome(&self, at: usize) -> Result<Outcome, String> {
        Ok(match self.needed::<String>(at, "Status")?.as_str() {
            "Ok" => Outcome::Settled,
            "Failed" => Outcome::Failed,
            "QueueFull" => Outcome::QueueFull,
            "TimedOut" => Outcome::TimedOut,
            "ConnectError" => Outcome::Unreachable,
            "ResetByPeer" => Outcome::Reset,
            "Canceled" => Outcome::Cancelled,
            "Ignored" => Outcome::Abandoned,
            other => return Err(format!("{}: field Status: unknown outcome '{other}'", self.name)),
        })
    }

    fn report(&self, at: usize) -> Result<Vec<f64>, String> {
        let text = self.text(at).unwrap_or("");
        let parts = text.split(',').filter(|part| !part.is_empty() && *part != "-");
        parts
            .map(|part| {
                part.parse().map_err(|_| format!("{}: field Metrics: cannot read '{part}'", self.name))
            })
            .collect()
    }
}

struct Instance {
    brain: Scheduler,
    names: Names,
    /// Where initiators may talk.
    signals: Option<Signals>,
}

/// The core's accounts, and the wire, as signals use them.
struct Books<'a, 'b>(&'a mut Scheduler, &'a mut Reply<'b>);

impl Ledger for Books<'_, '_> {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        self.0.limit_balances(now)
    }
    fn transfer(&mut self, now: f64, account: LimitId, units: f64, until: f64) -> bool {
        self.0.peer_report_received(now, PeerReport::Units(account, units, until), self.1)
    }
}

impl SignalHost for Books<'_, '_> {
    fn send_signal(&mut self, to: MemberId, bytes: &[u8]) {
        self.1.send_to_peer(Some(u64::from(to.0)), bytes);
    }
    fn node_report_received(&mut self, now: f64, report: &NodeReport) {
        self.0.peer_report_received(
            now,
            PeerReport::Latency(report.block, report.latency_ratio, report.answers, report.age),
            self.1,
        );
    }
}

impl Instance {
    /// Runs what is due of the signals, and sets their timer anew.
    fn settle(&mut self, now: f64, out: &mut Reply) {
        let Some(signals) = &mut self.signals else { return };
        let seen = std::mem::take(&mut out.seen);
        if let Some(at) = signals.run_due(now, seen, &mut Books(&mut self.brain, out)) {
            out.set_timer(at - now, SIGNALS);
        }
    }
}

/// The signals of an instance, where its settings allow them and tell which one it is.
fn signals(pairs: &Pairs, now: f64, seed: u64) -> Result<Option<Signals>, String> {
    let (me, all) = (pairs.optional::<u16>("Me")?, pairs.needed::<f64>("Balancers")?);
    let Some(me) = me.filter(|_| pairs.flag("Ceilings.Peers")) else { return Ok(None) };
    let members: Vec<MemberId> = (0..all.clamp(1.0, 65535.0) as u16).map(MemberId).collect();
    let incarnation = (now.max(0.0) * 100.0) as u32;
    let (sends_reports, lends, message_cost) = (true, true, pairs.number("Deductions.Peer")?);
    let config = SignalConfig {
        own_id: MemberId(me),
        members,
        incarnation,
        seed,
        sends_reports,
        lends,
        message_cost,
        disabled_safeguard: None,
    };
    Ok(Some(Signals::start(now, config)))
}

struct Lines<R> {
    input: R,
    text: String,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    fn next(&mut self) -> Result<bool, String> {
        self.text.clear();
        self.number += 1;
        match self.input.read_line(&mut self.text) {
            Ok(0) => Ok(false),
            Ok(_) => {
                let kept = self.text.trim_end_matches(['\n', '\r']).len();
                self.text.truncate(kept);
                Ok(true)
            }
            Err(error) => Err(format!("line {}: {error}", self.number)),
        }
    }
}

pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut lines = Lines { input, text: String::new(), number: 0 };
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let mut reply = String::new();
    while lines.next()? {
        if lines.text.is_empty() {
            continue;
        }
        let clock = Fields::split(&lines.text);
        let here = |number: u64, what: String| format!("line {number}: {what}");
        if clock.name != "CLOCK" {
            return Err(here(lines.number, format!("{}: a batch starts with CLOCK", clock.name)));
        }
        let now = clock
            .exactly(1)
            .and_then(|()| clock.needed::<f64>(0, "clock"))
            .map_err(|what| here(lines.number, what))?;
        reply.clear();
        if let Err((number, what)) = batch(&mut lines, &mut instances, now, &mut reply) {
            return Err(here(number, what));
        }
        reply.push_str("OK\n");
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|error| format!("standard output: {error}"))?;
    }
    Ok(())
}

fn batch<R: BufRead>(
    lines: &mut Lines<R>, instances: &mut BTreeMap<String, Instance>, now: f64, reply: &mut String,
) -> Result<(), (u64, String)> {
    let mut initiator: Option<String> = None;
    let mut named = false;
    loop {
        if !lines.next().map_err(|what| (lines.number, what))? {
            return Err((lines.number, "input ends inside a batch".to_string()));
        }
        let number = lines.number;
        let line = lines.text.clone();
        let fields = Fields::split(&line);
        match fields.name {
            "EOF_BATCH" => return Ok(()),
            "SWITCH_TO" => {
                fields.exactly(1).map_err(|what| (number, what))?;
                initiator = Some(fields.needed(0, "Initiator").map_err(|what| (number, what))?);
                named = false;
            }
            _ => {
                let Some(name) = &initiator else {
                    return Err((number, format!("{}: no SWITCH_TO before it", fields.name)));
                };
                let mut entries = Vec::new();
                if fields.name == "PEERS_KNOWN" {
                    let count = fields
                        .exactly(3)
                        .and_then(|()| fields.needed::<usize>(2, "Members"))
                        .map_err(|what| (number, what))?;
                    for _ in 0..count {
                        if !lines.next().map_err(|what| (lines.number, what))? {
                            return Err((lines.number, "input ends inside a list".to_string()));
                        }
                        entries.push(entry(&lines.text).map_err(|what| (lines.number, what))?);
                    }
                }
                let mut out = Reply { text: reply, initiator: name, named: &mut named, seen: Vec::new() };
                match catch_unwind(AssertUnwindSafe(|| {
                    event(&fields, entries, name, instances, now, &mut out)
                })) {
                    Ok(done) => done.map_err(|what| (number, what))?,
                    Err(panic) => {
                        let text = panic
                            .downcast_ref::<String>()
                            .map(String::as_str)
                            .or_else(|| panic.downcast_ref::<&str>().copied())
                            .unwrap_or("the core panicked");
                        out.line(format_args!("FATAL {}", text.replace(['\n', '\r'], " ")));
                    }
                }
            }
        }
    }
}

fn entry(line: &str) -> Result<ListedNode, String> {
    let fields = Fields::split(line);
    if fields.name != "ENTRY" {
        return Err(format!("{}: an ENTRY was expected", fields.name));
    }
    fields.exactly(7)?;
    let condition = match fields.needed::<u8>(4, "Condition")? {
        2 => NodeCondition::Ready,
        0 => NodeCondition::Draining,
        1 => NodeCondition::Removed,
        other => return Err(format!("ENTRY: field Condition: unknown value '{other}'")),
    };
    let block = BlockId(fields.value(3, "Block")?.unwrap_or(-1));
    Ok((fields.node(0)?, block, condition, fields.time(6, "StartTime")?, fields.time(5, "Scale")?))
}

fn event(
    fields: &Fields, entries: Vec<ListedNode>, name: &str, instances: &mut BTreeMap<String, Instance>,
    now: f64, out: &mut Reply,
) -> Result<(), String> {
    match fields.name {
        "START" => {
            let seed = fields.needed(0, "Seed")?;
            let decoded = Pairs::of_text(&fields.values[1..].join(" ")).and_then(|pairs| {
                let (settings, names) = pairs::core(&pairs)?;
                Ok((settings, names, signals(&pairs, now, seed)?))
            });
            let (mut settings, names, signals) =
                decoded.map_err(|what| format!("START: field Params: {what}"))?;
            settings.earlier_loans_hold = if signals.is_some() { lender_hold() } else { 0.0 };
            let brain = Scheduler::start(now, seed, settings, out);
            let mut instance = Instance { brain, names, signals };
            instance.settle(now, out);
            instances.insert(name.to_string(), instance);
            return Ok(());
        }
        "SHUTDOWN" => {
            fields.exactly(0)?;
            instances.remove(name);
            return Ok(());
        }
        _ => {}
    }
    let Some(instance) = instances.get_mut(name) else {
        return Err(format!("{}: {name} has not started", fields.name));
    };
    let Instance { brain, names, signals } = instance;
    let transaction = |at| fields.needed(at, "Req").map(TransactionId);
    match fields.name {
        "PEERS_KNOWN" => {
            let scope = match fields.needed::<u8>(0, "Scope")? {
                0 => ListKind::Changes,
                1 => ListKind::Whole,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => return Err(format!("PEERS_KNOWN: field Scope: unknown value '{other}'")),
            };
            brain.node_list_received(now, scope, &entries, out);
        }
        "REQ" => {
            fields.exactly(10)?;
            let plan: Option<String> = fields.value(3, "PolicyNo")?;
            let plan = plan.and_then(|plan| names.plans.iter().position(|known| *known == plan)).map(PlanId);
            let band: String = fields.needed(4, "Service")?;
            let band = names.bands.iter().position(|known| *known == band);
            brain.transaction_received(
                now,
                transaction(0)?,
                fields.value(2, "Hosts")?.unwrap_or(1.0),
                plan,
                BandId(band.ok_or("REQ: field Service: not in the settings")?),
                fields.text(5).map(|key| ExtentId(Arc::from(key))),
                fields.time(6, "Budget")?,
                fields.value(7, "Weight")?.unwrap_or(1.0),
                VolumeId(Arc::from(fields.text(8).unwrap_or(""))),
                fields.value(9, "Placement")?.filter(|block| *block >= 0).map(BlockId),
                out,
            );
        }
        "ACK_FIRST" => {
            fields.exactly(4)?;
            // Nothing is decided on this or a probe yet: what is read is only checked.
            transaction(0)?;
            fields.needed::<u32>(1, "Try")?;
            fields.node(2)?;
        }
        "RETURNED" => {
            fields.exactly(9)?;
            brain.shot_completed(
                now,
                transaction(0)?,
                &fields.node(1)?,
                fields.needed(2, "Try")?,
                fields.value(3, "UsePct")?.unwrap_or(0.0),
                fields.time(4, "DelaySeen")?,
                fields.flag(5, "Last")?,
                fields.outcome(6)?,
                fields.value(7, "OthersGot")?.unwrap_or(0.0),
                &fields.report(8)?,
                out,
            );
        }
        "LAPSED" => {
            fields.exactly(1)?;
            brain.client_cancelled(now, transaction(0)?, out);
        }
        "RING" => {
            fields.exactly(1)?;
            match fields.needed(0, "Tag")? {
                SIGNALS => {}
                tag => brain.timer_fired(now, tag, out),
            }
        }
        "PROBED" => {
            fields.exactly(4)?;
            fields.node(0)?;
            fields.outcome(1)?;
            fields.time(2, "DelaySeen")?;
            fields.report(3)?;
        }
        "PEER" => {
            fields.exactly(2)?;
            let author: u64 = fields.needed(0, "Author")?;
            let hex = fields.text(1).unwrap_or("");
            let byte = |at| hex.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
            let bytes: Option<Vec<u8>> = (0..hex.len()).step_by(2).map(byte).collect();
            let bytes = bytes.ok_or_else(|| format!("PEER: field Payload: cannot read '{hex}'"))?;
            if let (Some(signals), Ok(author)) = (signals, u16::try_from(author)) {
                signals.signal_received(now, MemberId(author), &bytes, &mut Books(brain, out));
            }
        }
        other => return Err(format!("{other}: unknown event")),
    }
    instance.settle(now, out);
    Ok(())
}
