//! `quaypath-nvme`: a small client for gateways, targets and registers.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand, ValueEnum};
use quaypath_initiator::event_loop::with_timeout;
use quaypath_initiator::queue::{open_admin_queue, open_io_queue, submit_and_wait, Queue};
use quaypath_initiator::register::DISCOVERY_NQN;
use quaypath_nvme::admin::{
    access_groups, ana, discovery_header, discovery_record, get_log, identify, log, namespace_list,
    namespace_size, property, property_get, property_set, CC_SHUT_DOWN,
};
use quaypath_nvme::command::{opcode, Cqe, Marks, Sqe};
use quaypath_nvme::enable::Enable;
use quaypath_nvme::host::Offer;
use quaypath_nvme::pdu::{Decoder, Format, Pdu};
use quaypath_nvme::{admin, status, BLOCK_SIZE, MAX_DATA};
use quaypath_programs::{exit_code, print_line};

/// Talks NVMe/TCP to one gateway, target or register.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-nvme discover 127.0.0.1:8009\n  quaypath-nvme read 127.0.0.1:4420 --namespace 1 --from 0 --blocks 8 > data"
)]
struct Arguments {
    /// Digests to ask for
    #[arg(long, value_enum, default_value = "none", global = true)]
    digests: Digests,
    /// Seconds to wait for each answer
    #[arg(long, default_value_t = 10.0, global = true)]
    wait: f64,
    /// Name of this host
    #[arg(long, default_value = "nqn.2026-12.example.quaypath:client:0", global = true)]
    host: String,
    #[command(subcommand)]
    act: Act,
}

#[derive(Clone, Copy, ValueEnum)]
enum Digests {
    None,
    Header,
    Data,
    Both,
}

#[derive(Args)]
struct Range {
    address: SocketAddr,
    #[arg(long)]
    namespace: u32,
    /// First logical block
    #[arg(long)]
    from: u64,
    /// Band, counted from 1; 0 leaves it to the gateway's settings
    #[arg(long, default_value_t = 0)]
    band: u8,
    /// Mark against repeats
    #[arg(long, default_value_t = 0)]
    mark: u64,
}

#[derive(Subcommand)]
enum Act {
    /// Reads a register's discovery log and access states
    Discover { address: SocketAddr },
    /// Connects, enables, shuts down, and tells each step
    Connect { address: SocketAddr },
    /// Tells the controller and its namespaces
    Identify {
        address: SocketAddr,
        /// One namespace only
        #[arg(long)]
        namespace: Option<u32>,
    },
    /// Reads logical blocks to standard output
    Read {
        #[command(flatten)]
        range: Range,
        #[arg(long, default_value_t = 8)]
        blocks: u32,
    },
    /// Writes standard input, padded with zeroes to whole blocks
    Write {
        #[command(flatten)]
        range: Range,
    },
    /// Compares standard input with what is there; exits 1 where they differ
    Compare {
        #[command(flatten)]
        range: Range,
    },
    /// Flushes a namespace
    Flush {
        address: SocketAddr,
        #[arg(long)]
        namespace: u32,
    },
    /// Prints the PDUs of a recorded stream, one direction, as text
    Decode { file: PathBuf },
}

struct Client {
    address: SocketAddr,
    offer: Offer,
    host: String,
    wait: f64,
}

fn hint(status: u16) -> &'static str {
    match status::code(status) {
        status::INTERRUPTED => "declined: nothing was done; try again after the delay",
        status::INTERNAL_ERROR => {
            "scrapped: it may or may not have run; a write's effect has to be read back"
        }
        status::INVALID_NAMESPACE => "no such namespace; `identify` lists them",
        status::LBA_RANGE => "past the namespace's end; `identify --namespace` tells its size",
        status::INVALID_FIELD => {
            "refused: a transfer over two extents, or a band that does not fit the command"
        }
        status::CONNECT_INVALID => "the queue or controller id is not one that the peer gave",
        status::CONNECT_BUSY => "the peer has as many associations as it takes",
        status::INVALID_LOG => "this peer has no such log; a register has the discovery log, gateways do not",
        status::TRANSPORT_ERROR => "data was spoilt on the way",
        status::COMMAND_SEQUENCE => "the controller is not enabled, or was shut down",
        _ => "see docs/protocol.md",
    }
}

fn good(what: &str, (cqe, data): (Cqe, Vec<u8>)) -> Result<(Cqe, Vec<u8>), String> {
    if cqe.status == 0 {
        return Ok((cqe, data));
    }
    let delay =
        if cqe.status & status::CRD1 != 0 { format!(", come back in {} ms", cqe.dw0) } else { String::new() };
    let again = if cqe.status & status::DNR != 0 { ", do not retry" } else { "" };
    let code = status::code(cqe.status);
    Err(format!(
        "{what}: status {:#x} (type {}, code {:#04x}{again}{delay}): {}",
        cqe.status,
        code >> 8,
        code & 0xff,
        hint(cqe.status)
    ))
}

impl Client {
    fn run<R>(&self, done: impl std::future::Future<Output = std::io::Result<R>>) -> Result<R, String> {
        async_io::block_on(with_timeout(self.wait.clamp(0.01, 3600.0), done)).map_err(|error| {
            let hint = match error.kind() {
                std::io::ErrorKind::ConnectionRefused => "; nothing listens there",
                std::io::ErrorKind::TimedOut => {
                    "; it listens and does not answer, or is no NVMe/TCP controller"
                }
                std::io::ErrorKind::ConnectionReset => {
                    "; the peer closed: too many clients, or it does not speak this"
                }
                _ => "",
            };
            format!("{}: {error}{hint}", self.address)
        })
    }

    fn admin(&self, subsystem: &str, queues: u16) -> Result<(Queue, Enable), String> {
        self.run(open_admin_queue(self.address, subsystem, &self.host, self.offer, queues, false))
    }

    fn ask(&self, what: &str, queue: &mut Queue, sqe: Sqe) -> Result<(Cqe, Vec<u8>), String> {
        let expected = admin::brings(&sqe);
        good(what, self.run(submit_and_wait(queue, sqe, Vec::new(), expected, &mut Vec::new()))?)
    }

    /// One I/O command on a queue of its own.
    fn io(&self, what: &str, sqe: Sqe, data: Vec<u8>, expected: usize) -> Result<(Cqe, Vec<u8>), String> {
        let (admin, enable) = self.admin("nqn.2026-12.example.quaypath:gateway", 1)?;
        let opening = open_io_queue(
            self.address,
            1,
            enable.controller,
            "nqn.2026-12.example.quaypath:gateway",
            &self.host,
            self.offer,
        );
        let mut queue = self.run(opening)?;
        let answer = self.run(submit_and_wait(&mut queue, sqe, data, expected, &mut Vec::new()))?;
        drop(admin);
        good(what, answer)
    }
}

fn discover(client: &Client) -> Result<bool, String> {
    let (mut queue, _) = client.admin(DISCOVERY_NQN, 0)?;
    let (_, head) = client.ask("discovery log", &mut queue, get_log(log::DISCOVERY, 0, 1024, true))?;
    let (generation, count) = discovery_header(&head).ok_or("the discovery log has no header")?;
    let count =
        usize::try_from(count).ok().filter(|count| *count <= 65536).ok_or("more records than are taken")?;
    let mut whole = head;
    while whole.len() < 1024 * (count + 1) {
        let piece = (1024 * (count + 1) - whole.len()).min(32 * 1024);
        let sqe = get_log(log::DISCOVERY, whole.len() as u64, piece, true);
        whole.extend(client.ask("discovery log", &mut queue, sqe)?.1);
    }
    let states = client.ask("access states", &mut queue, get_log(log::ANA, 0, 16 + 32 * count.max(1), true));
    let groups =
        states.ok().and_then(|(_, data)| access_groups(&data)).map_or(Vec::new(), |(_, groups)| groups);
    print_line!("generation {generation}, {count} records");
    for record in (0..count).filter_map(|at| discovery_record(&whole, at)) {
        let state =
            groups.iter().find(|(id, ..)| *id == u32::from(record.port) + 1).map(|(_, state, _)| *state);
        let state = match state {
            Some(ana::OPTIMIZED) => "ready",
            Some(ana::INACCESSIBLE) => "draining",
            Some(_) => "gone",
            None => "unknown",
        };
        let age = record.age.map_or("long ago".into(), |age| format!("{age:.1} s ago"));
        print_line!(
            "port {:3}  {}:{}  {state}  block {}  zone {}  started {age}  {}",
            record.port,
            record.address,
            record.service,
            record.block,
            record.zone,
            record.subsystem
        );
    }
    Ok(true)
}

fn connect(client: &Client) -> Result<bool, String> {
    let (mut queue, enable) = client.admin("nqn.2026-12.example.quaypath:gateway", 8)?;
    print_line!("connected: controller {}, ready, {} I/O queues", enable.controller, enable.queues);
    for (name, at) in
        [("CAP", property::CAP), ("VS", property::VS), ("CC", property::CC), ("CSTS", property::CSTS)]
    {
        let (cqe, _) = client.ask(name, &mut queue, property_get(at))?;
        print_line!("{name}: {:#x}", u64::from(cqe.dw0) | u64::from(cqe.dw1) << 32);
    }
    client.ask("shutdown", &mut queue, property_set(property::CC, CC_SHUT_DOWN))?;
    let (cqe, _) = client.ask("CSTS", &mut queue, property_get(property::CSTS))?;
    print_line!("shut down: CSTS {:#x}", cqe.dw0);
    Ok(true)
}

fn identify_all(client: &Client, one: Option<u32>) -> Result<bool, String> {
    let (mut queue, enable) = client.admin("nqn.2026-12.example.quaypath:gateway", 1)?;
    let identity = enable.identity.ok_or("no identity")?;
    print_line!(
        "subsystem {}  controller {}  model {} {}",
        identity.subsystem,
        identity.controller,
        identity.model,
        identity.firmware
    );
    print_line!(
        "longest transfer {} KiB  in capsule {} bytes  most commands {}  retry delays {:?} s",
        identity.longest / 1024,
        identity.in_capsule,
        identity.most_commands,
        identity.retry_delays
    );
    let mut ids = one.map_or(Vec::new(), |one| vec![one]);
    if one.is_none() {
        loop {
            let after = ids.last().copied().unwrap_or(0);
            let more = namespace_list(&client.ask("namespaces", &mut queue, identify(2, after))?.1);
            ids.extend(&more);
            if more.len() < 1024 {
                break;
            }
        }
    }
    for nsid in ids {
        let (_, data) = client.ask(&format!("namespace {nsid}"), &mut queue, identify(0, nsid))?;
        let (blocks, size) = namespace_size(&data).ok_or("a namespace with a format of another kind")?;
        print_line!("namespace {nsid}: {blocks} blocks of {size} bytes");
    }
    Ok(true)
}

fn input() -> Result<Vec<u8>, String> {
    let mut data = Vec::new();
    std::io::stdin().take(MAX_DATA as u64 + 1).read_to_end(&mut data).map_err(|error| error.to_string())?;
    if data.is_empty() || data.len() > MAX_DATA {
        return Err(format!("standard input: {} bytes; 1 to {MAX_DATA} are taken", data.len()));
    }
    data.resize(data.len().next_multiple_of(BLOCK_SIZE), 0);
    Ok(data)
}

fn transfer(range: &Range, opcode: u8, blocks: u32) -> Sqe {
    let marks = Marks { band: range.band, mark: range.mark, ..Marks::default() };
    marks.put(Sqe::transfer(opcode, range.namespace, range.from, blocks))
}

fn decode(path: &PathBuf) -> Result<bool, String> {
    let bytes = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let (mut decoder, mut at) = (Decoder::default(), 0);
    decoder.feed(&bytes);
    loop {
        let pending = decoder.pending();
        match decoder.next_pdu() {
            Ok(Some(pdu)) => {
                let length = pending - decoder.pending();
                print_line!("{at:8}  {length:6} bytes  {}", text(&pdu));
                if let Pdu::IcResp { digest, .. } = pdu {
                    decoder.agree(Format::of(digest, 0));
                }
                at += length;
            }
            Ok(None) if pending == 0 => return Ok(true),
            Ok(None) => {
                return Err(format!(
                    "{}, byte {at}: the last PDU has {pending} bytes and is not whole",
                    path.display()
                ))
            }
            Err(why) => return Err(format!("{}, byte {at}: {why}", path.display())),
        }
    }
}

fn text(pdu: &Pdu) -> String {
    match pdu {
        Pdu::Command { sqe, data } => format!(
            "CapsuleCmd  opcode {:#04x} cid {} nsid {:#x} cdw10.. {:x?} data {}",
            sqe.opcode,
            sqe.cid,
            sqe.nsid,
            sqe.cdw,
            data.len()
        ),
        Pdu::H2cData(part) => format!(
            "H2CData  cid {} ttag {} offset {} data {}",
            part.cid,
            part.ttag,
            part.offset,
            part.data.len()
        ),
        Pdu::C2hData(part) => format!(
            "C2HData  cid {} offset {} data {}{}",
            part.cid,
            part.offset,
            part.data.len(),
            if part.success { " success" } else { "" }
        ),
        Pdu::Response(cqe) => format!(
            "CapsuleResp  cid {} status {:#x} dw0 {:#x} dw1 {:#x} sqhd {}",
            cqe.cid, cqe.status, cqe.dw0, cqe.dw1, cqe.sq_head
        ),
        other => format!("{other:?}"),
    }
}

fn run(arguments: &Arguments) -> Result<bool, String> {
    let bits = match arguments.digests {
        Digests::None => 0,
        Digests::Header => 1,
        Digests::Data => 2,
        Digests::Both => 3,
    };
    let format = Format::of(bits, 0);
    let client = |address| Client {
        address,
        offer: Offer { format, insist: true, keep_alive_ms: 0 },
        host: arguments.host.clone(),
        wait: arguments.wait,
    };
    match &arguments.act {
        Act::Discover { address } => discover(&client(*address)),
        Act::Connect { address } => connect(&client(*address)),
        Act::Identify { address, namespace } => identify_all(&client(*address), *namespace),
        Act::Read { range, blocks } => {
            let blocks = (*blocks).clamp(1, (MAX_DATA / BLOCK_SIZE) as u32);
            let sqe = transfer(range, opcode::READ, blocks);
            let (_, data) = client(range.address).io("read", sqe, Vec::new(), sqe.length())?;
            std::io::stdout().write_all(&data).map_err(|error| error.to_string())?;
            Ok(true)
        }
        Act::Write { range } => {
            let data = input()?;
            let sqe = transfer(range, opcode::WRITE, (data.len() / BLOCK_SIZE) as u32);
            client(range.address).io("write", sqe, data, 0)?;
            Ok(true)
        }
        Act::Compare { range } => {
            let data = input()?;
            let sqe = transfer(range, opcode::COMPARE, (data.len() / BLOCK_SIZE) as u32);
            match client(range.address).io("compare", sqe, data, 0) {
                Err(error) if error.contains(&format!("{:#x} ", status::COMPARE_FAILURE)) => {
                    print_line!("they differ");
                    Ok(false)
                }
                done => done.map(|_| true),
            }
        }
        Act::Flush { address, namespace } => {
            let sqe = Sqe { opcode: opcode::FLUSH, nsid: *namespace, ..Sqe::default() };
            client(*address).io("flush", sqe, Vec::new(), 0).map(|_| true)
        }
        Act::Decode { file } => decode(file),
    }
}

fn main() -> ExitCode {
    exit_code("quaypath-nvme", run(&Arguments::parse()))
}
