//! `quaypath-nvme`: a small NVMe/TCP client for gateways, nodes and registers.

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

/// Sends NVMe/TCP commands to one gateway, node or register.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-nvme discover 127.0.0.1:8009\n  quaypath-nvme read 127.0.0.1:4420 --namespace 1 --from 0 --blocks 8 > data"
)]
struct Arguments {
    /// Digests to require
    #[arg(long, value_enum, default_value = "none", global = true)]
    digests: Digests,
    /// Seconds to wait for each answer
    #[arg(long, default_value_t = 10.0, global = true)]
    wait: f64,
    /// NQN of this host
    #[arg(long, default_value = "nqn.2026-12.example.quaypath:client:0", global = true)]
    host: String,
    #[command(subcommand)]
    action: Action,
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
    /// Address of the peer
    address: SocketAddr,
    #[arg(long)]
    namespace: u32,
    /// First logical block
    #[arg(long)]
    from: u64,
    /// Number of the band, from 1; 0 leaves it to the gateway's settings
    #[arg(long, default_value_t = 0)]
    band: u8,
    /// Mark by which repeats are recognised
    #[arg(long, default_value_t = 0)]
    mark: u64,
}

#[derive(Subcommand)]
enum Action {
    /// Reads the discovery log and access states of a register
    Discover { address: SocketAddr },
    /// Connects, enables and shuts down a controller, and prints each step
    Connect { address: SocketAddr },
    /// Prints the controller and its namespaces
    Identify {
        address: SocketAddr,
        /// Print this namespace only
        #[arg(long)]
        namespace: Option<u32>,
    },
    /// Reads logical blocks to standard output
    Read {
        #[command(flatten)]
        range: Range,
        /// Number of logical blocks
        #[arg(long, default_value_t = 8)]
        blocks: u32,
    },
    /// Writes standard input, padded with zeroes to whole logical blocks
    Write {
        #[command(flatten)]
        range: Range,
    },
    /// Compares standard input with the stored data; exits with 1 if they differ
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
    /// Prints the PDUs in a file with one direction of a recorded TCP stream
    Decode { file: PathBuf },
}

/// Connection settings for one peer.
struct Client {
    address: SocketAddr,
    offer: Offer,
    host: String,
    /// Time to wait for each answer, seconds.
    wait: f64,
}

/// Explanation of a status for the user.
fn hint(status: u16) -> &'static str {
    match status::code(status) {
        status::INTERRUPTED => "declined: the command was not run; retry after the delay",
        status::INTERNAL_ERROR => {
            "scrapped: the command may or may not have run; read back the data of a write"
        }
        status::INVALID_NAMESPACE => "no such namespace; `identify` lists them",
        status::LBA_RANGE => "past the namespace's end; `identify --namespace` prints its size",
        status::INVALID_FIELD => {
            "refused: a transfer over two extents, or a band that does not allow the command"
        }
        status::CONNECT_INVALID => "the queue or controller id was not assigned by the peer",
        status::CONNECT_BUSY => "the peer has reached its maximum number of associations",
        status::INVALID_LOG => "this peer has no such log; a register has the discovery log, gateways do not",
        status::TRANSPORT_ERROR => "the data was corrupted in transit",
        status::COMMAND_SEQUENCE => "the controller is not enabled or has been shut down",
        _ => "see docs/protocol.md",
    }
}

/// Returns the answer of a successful command, or an error with its status.
fn require_success(command_name: &str, (cqe, data): (Cqe, Vec<u8>)) -> Result<(Cqe, Vec<u8>), String> {
    if cqe.status == 0 {
        return Ok((cqe, data));
    }
    let delay =
        if cqe.status & status::CRD1 != 0 { format!(", retry in {} ms", cqe.dw0) } else { String::new() };
    let no_retry = if cqe.status & status::DNR != 0 { ", do not retry" } else { "" };
    let code = status::code(cqe.status);
    Err(format!(
        "{command_name}: status {:#x} (type {}, code {:#04x}{no_retry}{delay}): {}",
        cqe.status,
        code >> 8,
        code & 0xff,
        hint(cqe.status)
    ))
}

impl Client {
    /// Runs an operation within the wait.
    fn run<R>(&self, operation: impl std::future::Future<Output = std::io::Result<R>>) -> Result<R, String> {
        async_io::block_on(with_timeout(self.wait.clamp(0.01, 3600.0), operation)).map_err(|error| {
            let hint = match error.kind() {
                std::io::ErrorKind::ConnectionRefused => "; nothing listens on this address",
                std::io::ErrorKind::TimedOut => {
                    "; the peer does not answer, or is not an NVMe/TCP controller"
                }
                std::io::ErrorKind::ConnectionReset => {
                    "; the peer closed the connection: it has too many clients, or does not speak NVMe/TCP"
                }
                _ => "",
            };
            format!("{}: {error}{hint}", self.address)
        })
    }

    fn admin(&self, subsystem: &str, queues: u16) -> Result<(Queue, Enable), String> {
        self.run(open_admin_queue(self.address, subsystem, &self.host, self.offer, queues, false))
    }

    fn run_admin(&self, command_name: &str, queue: &mut Queue, sqe: Sqe) -> Result<(Cqe, Vec<u8>), String> {
        let expected = admin::brings(&sqe);
        require_success(
            command_name,
            self.run(submit_and_wait(queue, sqe, Vec::new(), expected, &mut Vec::new()))?,
        )
    }

    /// Runs one I/O command on a new I/O queue; `expected` is the length of the data that it returns, in bytes.
    fn io(
        &self, command_name: &str, sqe: Sqe, data: Vec<u8>, expected: usize,
    ) -> Result<(Cqe, Vec<u8>), String> {
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
        require_success(command_name, answer)
    }
}

fn discover(client: &Client) -> Result<bool, String> {
    let (mut queue, _) = client.admin(DISCOVERY_NQN, 0)?;
    let (_, first_record) =
        client.run_admin("discovery log", &mut queue, get_log(log::DISCOVERY, 0, 1024, true))?;
    let (generation, count) = discovery_header(&first_record).ok_or("the discovery log has no header")?;
    let count = usize::try_from(count)
        .ok()
        .filter(|count| *count <= 65536)
        .ok_or("the discovery log has more than 65536 records")?;
    let mut log_page = first_record;
    while log_page.len() < 1024 * (count + 1) {
        let chunk = (1024 * (count + 1) - log_page.len()).min(32 * 1024);
        let sqe = get_log(log::DISCOVERY, log_page.len() as u64, chunk, true);
        log_page.extend(client.run_admin("discovery log", &mut queue, sqe)?.1);
    }
    let states =
        client.run_admin("access states", &mut queue, get_log(log::ANA, 0, 16 + 32 * count.max(1), true));
    let groups =
        states.ok().and_then(|(_, data)| access_groups(&data)).map_or(Vec::new(), |(_, groups)| groups);
    print_line!("generation {generation}, {count} records");
    for record in (0..count).filter_map(|index| discovery_record(&log_page, index)) {
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
        let (cqe, _) = client.run_admin(name, &mut queue, property_get(at))?;
        print_line!("{name}: {:#x}", u64::from(cqe.dw0) | u64::from(cqe.dw1) << 32);
    }
    client.run_admin("shutdown", &mut queue, property_set(property::CC, CC_SHUT_DOWN))?;
    let (cqe, _) = client.run_admin("CSTS", &mut queue, property_get(property::CSTS))?;
    print_line!("shut down: CSTS {:#x}", cqe.dw0);
    Ok(true)
}

fn identify_controller(client: &Client, only: Option<u32>) -> Result<bool, String> {
    let (mut queue, enable) = client.admin("nqn.2026-12.example.quaypath:gateway", 1)?;
    let identity = enable.identity.ok_or("the controller returned no identity")?;
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
    let mut ids = only.map_or(Vec::new(), |only| vec![only]);
    if only.is_none() {
        loop {
            let after = ids.last().copied().unwrap_or(0);
            let page = namespace_list(&client.run_admin("namespaces", &mut queue, identify(2, after))?.1);
            ids.extend(&page);
            if page.len() < 1024 {
                break;
            }
        }
    }
    for nsid in ids {
        let (_, data) = client.run_admin(&format!("namespace {nsid}"), &mut queue, identify(0, nsid))?;
        let (blocks, size) = namespace_size(&data).ok_or("the namespace has an unsupported format")?;
        print_line!("namespace {nsid}: {blocks} blocks of {size} bytes");
    }
    Ok(true)
}

/// Reads the data of a command from standard input, padded with zeroes to whole logical blocks.
fn read_input() -> Result<Vec<u8>, String> {
    let mut data = Vec::new();
    std::io::stdin().take(MAX_DATA as u64 + 1).read_to_end(&mut data).map_err(|error| error.to_string())?;
    if data.is_empty() || data.len() > MAX_DATA {
        return Err(format!("standard input has {} bytes; 1 to {MAX_DATA} are allowed", data.len()));
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
    let (mut decoder, mut position) = (Decoder::default(), 0);
    decoder.feed(&bytes);
    loop {
        let pending = decoder.pending();
        match decoder.next_pdu() {
            Ok(Some(pdu)) => {
                let length = pending - decoder.pending();
                print_line!("{position:8}  {length:6} bytes  {}", describe(&pdu));
                if let Pdu::IcResp { digest, .. } = pdu {
                    decoder.agree(Format::of(digest, 0));
                }
                position += length;
            }
            Ok(None) if pending == 0 => return Ok(true),
            Ok(None) => {
                return Err(format!(
                    "{}, byte {position}: the last PDU is incomplete, with {pending} bytes",
                    path.display()
                ))
            }
            Err(reason) => return Err(format!("{}, byte {position}: {reason}", path.display())),
        }
    }
}

/// One line of text about a PDU.
fn describe(pdu: &Pdu) -> String {
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
    match &arguments.action {
        Action::Discover { address } => discover(&client(*address)),
        Action::Connect { address } => connect(&client(*address)),
        Action::Identify { address, namespace } => identify_controller(&client(*address), *namespace),
        Action::Read { range, blocks } => {
            let blocks = (*blocks).clamp(1, (MAX_DATA / BLOCK_SIZE) as u32);
            let sqe = transfer(range, opcode::READ, blocks);
            let (_, data) = client(range.address).io("read", sqe, Vec::new(), sqe.length())?;
            std::io::stdout().write_all(&data).map_err(|error| error.to_string())?;
            Ok(true)
        }
        Action::Write { range } => {
            let data = read_input()?;
            let sqe = transfer(range, opcode::WRITE, (data.len() / BLOCK_SIZE) as u32);
            client(range.address).io("write", sqe, data, 0)?;
            Ok(true)
        }
        Action::Compare { range } => {
            let data = read_input()?;
            let sqe = transfer(range, opcode::COMPARE, (data.len() / BLOCK_SIZE) as u32);
            match client(range.address).io("compare", sqe, data, 0) {
                Err(error) if error.contains(&format!("{:#x} ", status::COMPARE_FAILURE)) => {
                    print_line!("they differ");
                    Ok(false)
                }
                result => result.map(|_| true),
            }
        }
        Action::Flush { address, namespace } => {
            let sqe = Sqe { opcode: opcode::FLUSH, nsid: *namespace, ..Sqe::default() };
            client(*address).io("flush", sqe, Vec::new(), 0).map(|_| true)
        }
        Action::Decode { file } => decode(file),
    }
}

fn main() -> ExitCode {
    exit_code("quaypath-nvme", run(&Arguments::parse()))
}
