//! The text wire: reads batches of events line by line, decodes their fields into calls of the decision cores, and
//! writes the actions of the cores as lines.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::str::FromStr;
use std::sync::Arc;

use quaypath::scheduler::Scheduler;
use quaypath::types::{
    BandId, BlockId, ExtentId, LimitBalance, LimitId, ListKind, ListedNode, NodeCondition, NodeId, Outbox,
    Outcome, PeerReport, PlanId, TransactionId, VolumeId, ZoneId,
};
use quaypath_fleet::lending::{lender_hold, Ledger};
use quaypath_fleet::signal::{NodeReport, SignalConfig, SignalHost, Signals};
use quaypath_fleet::MemberId;
use quaypath_settings::pairs::{self, Names, Pairs};

/// Tag of the timer for the signals. The core never sets this tag.
const SIGNALS_TIMER_TAG: u64 = u64::MAX >> 1;

/// The lines with which an instance replies. A `BY` line with its name precedes the first one.
struct Reply<'a> {
    text: &'a mut String,
    initiator: &'a str,
    /// The `BY` line has been written.
    by_written: &'a mut bool,
    /// Latency ratios at nodes that the core observed in this event.
    latencies: Vec<(BlockId, f64)>,
}

impl Reply<'_> {
    fn write_line(&mut self, line: std::fmt::Arguments) {
        if !*self.by_written {
            let _ = writeln!(self.text, "BY {}", self.initiator);
            *self.by_written = true;
        }
        let _ = self.text.write_fmt(line);
        self.text.push('\n');
    }
}

impl Outbox for Reply<'_> {
    fn send(&mut self, transaction: TransactionId, stop_at: f64, node: &NodeId) {
        self.write_line(format_args!("FORWARD {} {stop_at:.6} {}", transaction.0, node.0));
    }
    fn cancel(&mut self, transaction: TransactionId, shot: u32) {
        self.write_line(format_args!("RETRACT {} {shot}", transaction.0));
    }
    fn decline(&mut self, transaction: TransactionId, retry_after: f64) {
        self.write_line(format_args!("SAY_NO {} {retry_after:.6}", transaction.0));
    }
    fn scrap(&mut self, transaction: TransactionId) {
        self.write_line(format_args!("FINISH_ERROR {}", transaction.0));
    }
    fn set_timer(&mut self, after: f64, tag: u64) {
        self.write_line(format_args!("SET_TIMER {after:.6} {tag}"));
    }
    fn subscribe(&mut self, on: bool) {
        self.write_line(format_args!("KEEP_INFORMED {}", u8::from(on)));
    }
    fn fetch_node_list(&mut self) {
        self.write_line(format_args!("LOOKUP"));
    }
    fn probe(&mut self, node: &NodeId) {
        self.write_line(format_args!("PROBE {}", node.0));
    }
    fn close(&mut self, node: &NodeId) {
        self.write_line(format_args!("CLOSE {}", node.0));
    }
    fn send_to_peer(&mut self, initiator: Option<u64>, payload: &[u8]) {
        let hex: String = payload.iter().map(|byte| format!("{byte:02x}")).collect();
        match initiator {
            Some(peer) => self.write_line(format_args!("SIGNAL {peer} {hex}")),
            None => self.write_line(format_args!("SIGNAL all {hex}")),
        }
    }
    fn latency_observed(&mut self, block: BlockId, latency_ratio: f64) {
        self.latencies.push((block, latency_ratio));
    }
    fn log(&mut self, text: &str) {
        self.write_line(format_args!("DEBUG {}", text.replace(['\n', '\r'], " ")));
    }
}

/// A decoded line: the name of the message and its values, which are read by position.
struct Fields<'a> {
    name: &'a str,
    values: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line at its spaces.
    fn split(line: &'a str) -> Self {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        let values = if rest.is_empty() { Vec::new() } else { rest.split(' ').collect() };
        Fields { name, values }
    }

    fn expect_count(&self, count: usize) -> Result<(), String> {
        if self.values.len() == count {
            return Ok(());
        }
        Err(format!("{}: {} fields, {count} expected", self.name, self.values.len()))
    }

    /// The text of a value; None for `-`, an empty or an absent value.
    fn text(&self, index: usize) -> Option<&'a str> {
        self.values.get(index).copied().filter(|text| *text != "-" && !text.is_empty())
    }

    fn value<T: FromStr>(&self, index: usize, field: &str) -> Result<Option<T>, String> {
        match self.text(index) {
            None => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(format!("{}: field {field}: cannot read '{text}'", self.name)),
            },
        }
    }

    fn required<T: FromStr>(&self, index: usize, field: &str) -> Result<T, String> {
        self.value(index, field)?.ok_or_else(|| format!("{}: field {field} is missing", self.name))
    }

    /// A time in seconds; 0 if the value is absent.
    fn time(&self, index: usize, field: &str) -> Result<f64, String> {
        let time: f64 = self.value(index, field)?.unwrap_or(0.0);
        if time.is_finite() {
            return Ok(time);
        }
        Err(format!("{}: field {field}: not a finite number", self.name))
    }

    /// A flag, written 0 or 1; false if the value is absent.
    fn flag(&self, index: usize, field: &str) -> Result<bool, String> {
        match self.text(index) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(format!("{}: field {field}: cannot read '{text}'", self.name)),
        }
    }

    fn node(&self, index: usize) -> Result<NodeId, String> {
        Ok(NodeId(Arc::from(self.required::<String>(index, "Target")?)))
    }

    fn outcome(&self, index: usize) -> Result<Outcome, String> {
        Ok(match self.required::<String>(index, "Status")?.as_str() {
            "Ok" => Outcome::Settled,
            "Failed" => Outcome::Failed,
            "QueueFull" => Outcome::QueueFull,
            "TimedOut" => Outcome::TimedOut,
            "ConnectError" => Outcome::Unreachable,
            "ResetByPeer" => Outcome::Reset,
            "Canceled" => Outcome::Cancelled,
            "Ignored" => Outcome::Abandoned,
            unknown => return Err(format!("{}: field Status: unknown outcome '{unknown}'", self.name)),
        })
    }

    /// The numbers of a load report, which are separated by commas.
    fn report(&self, index: usize) -> Result<Vec<f64>, String> {
        let text = self.text(index).unwrap_or("");
        let numbers = text.split(',').filter(|part| !part.is_empty() && *part != "-");
        numbers
            .map(|part| {
                part.parse().map_err(|_| format!("{}: field Metrics: cannot read '{part}'", self.name))
            })
            .collect()
    }
}

/// The decision core of an initiator, with its peer signals.
struct Instance {
    scheduler: Scheduler,
    names: Names,
    /// Present if initiators may communicate with each other.
    signals: Option<Signals>,
}

/// The access of the signals to the core and to the wire.
struct SignalContext<'a, 'b>(&'a mut Scheduler, &'a mut Reply<'b>);

impl Ledger for SignalContext<'_, '_> {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        self.0.limit_balances(now)
    }
    fn transfer(&mut self, now: f64, limit_id: LimitId, units: f64, expires_at: f64) -> bool {
        self.0.peer_report_received(now, PeerReport::Units(limit_id, units, expires_at), self.1)
    }
}

impl SignalHost for SignalContext<'_, '_> {
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
    /// Runs the signal work that is due and sets the timer for the next.
    fn run_signals(&mut self, now: f64, outbox: &mut Reply) {
        let Some(signals) = &mut self.signals else { return };
        let latencies = std::mem::take(&mut outbox.latencies);
        if let Some(due_at) = signals.run_due(now, latencies, &mut SignalContext(&mut self.scheduler, outbox))
        {
            outbox.set_timer(due_at - now, SIGNALS_TIMER_TAG);
        }
    }
}

/// Starts the signals of an instance if its settings allow them and contain its own number.
fn start_signals(pairs: &Pairs, now: f64, seed: u64) -> Result<Option<Signals>, String> {
    let (own_number, initiators) = (pairs.optional::<u16>("Me")?, pairs.required::<f64>("Balancers")?);
    let Some(own_number) = own_number.filter(|_| pairs.flag("Ceilings.Peers")) else { return Ok(None) };
    let members: Vec<MemberId> = (0..initiators.clamp(1.0, 65535.0) as u16).map(MemberId).collect();
    let incarnation = (now.max(0.0) * 100.0) as u32;
    let (sends_reports, lends, message_cost) = (true, true, pairs.number("Deductions.Peer")?);
    let config = SignalConfig {
        own_id: MemberId(own_number),
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

/// Reads lines and counts them.
struct LineReader<R> {
    input: R,
    /// The current line without its end.
    text: String,
    /// The number of the current line, from 1.
    number: u64,
}

impl<R: BufRead> LineReader<R> {
    /// Reads the next line; false at the end of the input.
    fn read_next(&mut self) -> Result<bool, String> {
        self.text.clear();
        self.number += 1;
        match self.input.read_line(&mut self.text) {
            Ok(0) => Ok(false),
            Ok(_) => {
                let length = self.text.trim_end_matches(['\n', '\r']).len();
                self.text.truncate(length);
                Ok(true)
            }
            Err(error) => Err(format!("line {}: {error}", self.number)),
        }
    }
}

/// Runs the batches of `input` until it ends and writes the reply to each of them. An error names the line at which
/// the input is malformed.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut lines = LineReader { input, text: String::new(), number: 0 };
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let mut reply = String::new();
    while lines.read_next()? {
        if lines.text.is_empty() {
            continue;
        }
        let header = Fields::split(&lines.text);
        let at_line = |number: u64, message: String| format!("line {number}: {message}");
        if header.name != "CLOCK" {
            return Err(at_line(lines.number, format!("{}: a batch starts with CLOCK", header.name)));
        }
        let now = header
            .expect_count(1)
            .and_then(|()| header.required::<f64>(0, "clock"))
            .map_err(|message| at_line(lines.number, message))?;
        reply.clear();
        if let Err((number, message)) = run_batch(&mut lines, &mut instances, now, &mut reply) {
            return Err(at_line(number, message));
        }
        reply.push_str("OK\n");
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|error| format!("standard output: {error}"))?;
    }
    Ok(())
}

/// Runs the events of one batch and appends their replies. An error comes with the number of its line.
fn run_batch<R: BufRead>(
    lines: &mut LineReader<R>, instances: &mut BTreeMap<String, Instance>, now: f64, reply: &mut String,
) -> Result<(), (u64, String)> {
    let mut initiator: Option<String> = None;
    let mut by_written = false;
    loop {
        if !lines.read_next().map_err(|message| (lines.number, message))? {
            return Err((lines.number, "input ends inside a batch".to_string()));
        }
        let number = lines.number;
        let line = lines.text.clone();
        let fields = Fields::split(&line);
        match fields.name {
            "EOF_BATCH" => return Ok(()),
            "SWITCH_TO" => {
                fields.expect_count(1).map_err(|message| (number, message))?;
                initiator = Some(fields.required(0, "Initiator").map_err(|message| (number, message))?);
                by_written = false;
            }
            _ => {
                let Some(name) = &initiator else {
                    return Err((number, format!("{}: no SWITCH_TO before it", fields.name)));
                };
                let mut entries = Vec::new();
                if fields.name == "PEERS_KNOWN" {
                    let count = fields
                        .expect_count(3)
                        .and_then(|()| fields.required::<usize>(2, "Members"))
                        .map_err(|message| (number, message))?;
                    for _ in 0..count {
                        if !lines.read_next().map_err(|message| (lines.number, message))? {
                            return Err((lines.number, "input ends inside a list".to_string()));
                        }
                        entries.push(decode_entry(&lines.text).map_err(|message| (lines.number, message))?);
                    }
                }
                let mut outbox = Reply {
                    text: reply,
                    initiator: name,
                    by_written: &mut by_written,
                    latencies: Vec::new(),
                };
                match catch_unwind(AssertUnwindSafe(|| {
                    run_event(&fields, entries, name, instances, now, &mut outbox)
                })) {
                    Ok(result) => result.map_err(|message| (number, message))?,
                    Err(panic) => {
                        let text = panic
                            .downcast_ref::<String>()
                            .map(String::as_str)
                            .or_else(|| panic.downcast_ref::<&str>().copied())
                            .unwrap_or("the core panicked");
                        outbox.write_line(format_args!("FATAL {}", text.replace(['\n', '\r'], " ")));
                    }
                }
            }
        }
    }
}

/// Decodes a line of a node list.
fn decode_entry(line: &str) -> Result<ListedNode, String> {
    let fields = Fields::split(line);
    if fields.name != "ENTRY" {
        return Err(format!("{}: an ENTRY was expected", fields.name));
    }
    fields.expect_count(7)?;
    let condition = match fields.required::<u8>(4, "Condition")? {
        2 => NodeCondition::Ready,
        0 => NodeCondition::Draining,
        1 => NodeCondition::Removed,
        unknown => return Err(format!("ENTRY: field Condition: unknown value '{unknown}'")),
    };
    let block = BlockId(fields.value(3, "Block")?.unwrap_or(-1));
    Ok(ListedNode {
        node_id: fields.node(0)?,
        block,
        zone: fields.text(1).and_then(ZoneId::from_name),
        condition,
        started: fields.time(6, "StartTime")?,
        size: fields.time(5, "Scale")?,
    })
}

/// Decodes one event and passes it to the instance `name`.
fn run_event(
    fields: &Fields, entries: Vec<ListedNode>, name: &str, instances: &mut BTreeMap<String, Instance>,
    now: f64, outbox: &mut Reply,
) -> Result<(), String> {
    match fields.name {
        "START" => {
            let seed = fields.required(0, "Seed")?;
            let decoded = Pairs::from_text(&fields.values[1..].join(" ")).and_then(|pairs| {
                let (settings, names) = pairs::core_settings(&pairs)?;
                Ok((settings, names, start_signals(&pairs, now, seed)?))
            });
            let (mut settings, names, signals) =
                decoded.map_err(|message| format!("START: field Params: {message}"))?;
            settings.earlier_loans_hold = if signals.is_some() { lender_hold() } else { 0.0 };
            let scheduler = Scheduler::start(now, seed, settings, outbox);
            let mut instance = Instance { scheduler, names, signals };
            instance.run_signals(now, outbox);
            instances.insert(name.to_string(), instance);
            return Ok(());
        }
        "SHUTDOWN" => {
            fields.expect_count(0)?;
            instances.remove(name);
            return Ok(());
        }
        _ => {}
    }
    let Some(instance) = instances.get_mut(name) else {
        return Err(format!("{}: {name} has not started", fields.name));
    };
    let Instance { scheduler, names, signals } = instance;
    let transaction = |index| fields.required(index, "Req").map(TransactionId);
    match fields.name {
        "PEERS_KNOWN" => {
            let kind = match fields.required::<u8>(0, "Scope")? {
                0 => ListKind::Changes,
                1 => ListKind::Whole,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                unknown => return Err(format!("PEERS_KNOWN: field Scope: unknown value '{unknown}'")),
            };
            scheduler.node_list_received(now, kind, &entries, outbox);
        }
        "REQ" => {
            fields.expect_count(10)?;
            let plan: Option<String> = fields.value(3, "PolicyNo")?;
            let plan = plan.and_then(|plan| names.plans.iter().position(|known| *known == plan)).map(PlanId);
            let band: String = fields.required(4, "Service")?;
            let band = names.bands.iter().position(|known| *known == band);
            scheduler.transaction_received(
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
                outbox,
            );
        }
        "ACK_FIRST" => {
            fields.expect_count(4)?;
            // The core does not use this event or PROBED yet; their fields are only checked.
            transaction(0)?;
            fields.required::<u32>(1, "Try")?;
            fields.node(2)?;
        }
        "RETURNED" => {
            fields.expect_count(9)?;
            scheduler.shot_completed(
                now,
                transaction(0)?,
                &fields.node(1)?,
                fields.required(2, "Try")?,
                fields.value(3, "UsePct")?.unwrap_or(0.0),
                fields.time(4, "DelaySeen")?,
                fields.flag(5, "Last")?,
                fields.outcome(6)?,
                fields.value(7, "OthersGot")?.unwrap_or(0.0),
                &fields.report(8)?,
                outbox,
            );
        }
        "LAPSED" => {
            fields.expect_count(1)?;
            scheduler.client_cancelled(now, transaction(0)?, outbox);
        }
        "RING" => {
            fields.expect_count(1)?;
            match fields.required(0, "Tag")? {
                SIGNALS_TIMER_TAG => {}
                tag => scheduler.timer_fired(now, tag, outbox),
            }
        }
        "PROBED" => {
            fields.expect_count(4)?;
            fields.node(0)?;
            fields.outcome(1)?;
            fields.time(2, "DelaySeen")?;
            fields.report(3)?;
        }
        "PEER" => {
            fields.expect_count(2)?;
            let author: u64 = fields.required(0, "Author")?;
            let hex = fields.text(1).unwrap_or("");
            let byte = |index| hex.get(index..index + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
            let bytes: Option<Vec<u8>> = (0..hex.len()).step_by(2).map(byte).collect();
            let bytes = bytes.ok_or_else(|| format!("PEER: field Payload: cannot read '{hex}'"))?;
            if let (Some(signals), Ok(author)) = (signals, u16::try_from(author)) {
                signals.signal_received(now, MemberId(author), &bytes, &mut SignalContext(scheduler, outbox));
            }
        }
        unknown => return Err(format!("{unknown}: unknown event")),
    }
    instance.run_signals(now, outbox);
    Ok(())
}
