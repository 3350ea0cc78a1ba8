//! The hard cases of the whole NVMe/TCP path, each caused on sockets, and the client program as a new user runs it.

mod helper;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use helper::*;
use quaypath::types::NodeCondition::{Draining, Ready, Removed};
use quaypath_nvme::command::Sqe;
use quaypath_nvme::host::Offer;
use quaypath_nvme::pdu::Format;
use quaypath_nvme::status;
use quaypath_record::{Clock, Writer};
use quaypath_standins::model::ModelConfig;
use quaypath_standins::target::{encode_violation, BandRule, Options, Target, ACCEPTED_FORMAT};
use test_case::test_case;

fn arrivals(target: &Peer) -> Vec<(u64, u8)> {
    target.arrived.try_iter().filter(|(mark, _)| *mark != 0xff00).collect()
}

/// A stand-in that keeps data, on this address.
fn stand_in(listener: TcpListener) -> Target {
    stand_in_with(listener, Vec::new())
}

fn stand_in_with(listener: TcpListener, bands: Vec<BandRule>) -> Target {
    let options = Options {
        block: 0,
        zone: "hall-0".into(),
        cold: false,
        seed: 1,
        model: ModelConfig {
            cores: 2,
            unit_time: 0.001,
            recent_extent_factor: 1.0,
            recent_extents: 0,
            deferred_write_share: 0.0,
            flush_interval: 1.0,
            queue_capacity: 100,
            start_capacity: 1.0,
            warm_up: 0.0,
            overload_multiple: 2.0,
            overload_window: 1.0,
            cold_start_units: 100.0,
            cancel_stops_running: true,
        },
        bands,
        metering_period: 0.0,
        nominal_rates: Arc::default(),
        volumes: Arc::new(BTreeMap::from([(1, 1 << 20), (2, 1 << 20)])),
        accepted_format: ACCEPTED_FORMAT,
        shared: Arc::default(),
        work_sigma: 0.0,
    };
    Target::start(options, listener, Writer::memory(Clock::default())).unwrap()
}

fn bound() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// A node that answers the command of mark 0x100 in these ways, one after the other, and all others as it should.
fn rogue_peer(ways: &[u32]) -> Peer {
    let ways = ways.to_vec();
    peer(move |sqe, marks| {
        let mut bytes = Vec::new();
        ways.iter().for_each(|way| encode_violation(*way, sqe, &mut bytes));
        if marks.mark == 0x100 {
            Do::Raw(bytes)
        } else {
            Do::Answer(0)
        }
    })
}

/// What a node may not send ends its connection; the purchase under way is scrapped and not repeated, and the node
/// serves again over a fresh connection.
#[test_case(1; "an unknown id")]
#[test_case(2; "data past the length")]
#[test_case(3; "R2T beyond bounds")]
#[test_case(4; "a digest that was not agreed on")]
#[test_case(5; "garbage")]
fn a_target_that_breaks_the_protocol(way: u32) {
    let target = rogue_peer(&[way]);
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(client.io.answer().1, SCRAPPED);
    assert!(client.io.is_silent());
    assert_eq!(arrivals(&target), [(0x100, 0)]);
    settled(&mut client);
    drop(gateway);
}

/// The first answer counts; the second ends the connection and changes nothing for the client.
#[test]
fn a_target_that_answers_twice() {
    let target = rogue_peer(&[0, 0]);
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(client.io.answer().1, status::SUCCESS);
    assert!(client.io.is_silent());
    settled(&mut client);
    assert_eq!(arrivals(&target), [(0x100, 0)]);
    drop(gateway);
}

/// A bad digest of data where digests are agreed on: the read's data is of no use, and is fetched again.
#[test]
fn digests_are_agreed_on_and_serve() {
    let target = stand_in(bound());
    let address = target.node.parse().unwrap();
    let (gateway, mut client) = one(&Shape { digests: "both", ..Shape::default() }, address);
    settled(&mut client);
    let format = Format { header_digest: true, data_digest: true, align: 7 };
    let mut other = Client::connect_with(gateway.address, Offer { format, insist: true, keep_alive_ms: 0 });
    settled(&mut other);
}

/// The settings ask for digests, the node takes none: it is not used, and its transactions are declined.
#[test]
fn digests_on_at_one_end_only_leave_the_node_unused() {
    let target = peer(|_, _| Do::Answer(0));
    plain_only(&target);
    let (gateway, mut client) = one(&Shape { digests: "both", ..Shape::default() }, target.address);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(client.io.answer().1, DECLINED);
    assert!(arrivals(&target).is_empty());
    assert!(gateway.counts()["connects_failed"].as_u64().unwrap() >= 1);
}

/// Nothing is heard of a client for its keep alive: its command is let go as of a caller who left.
#[test]
fn a_client_whose_keep_alive_is_lost() {
    let target = peer(|_, marks| if marks.mark == 0x100 { Do::Hold } else { Do::Answer(0) });
    let (gateway, mut client) = one(&Shape { outer: 10.0, ..Shape::default() }, target.address);
    settled(&mut client);
    let mut silent = Client::connect_with(gateway.address, Offer { keep_alive_ms: 300, ..Offer::default() });
    silent.ask(READ, 1, 0x100, 8);
    until("the shot is at the node", || arrivals(&target).contains(&(0x100, 0)));
    let mut rest = Vec::new();
    let _ = silent.io.stream.read_to_end(&mut rest);
    settled(&mut client);
    assert_eq!(gateway.counts()["lapsed"], 1);
}

/// A node that does not answer a Keep Alive, with a purchase under way: given up on our side only.
#[test]
fn a_node_whose_keep_alive_is_lost_on_one_side_only() {
    let target = stand_in(bound());
    let address = target.node.parse().unwrap();
    let shape = Shape { keep_alive: 1.5, outer: 10.0, half_pdu: 30.0, ..Shape::default() };
    let (gateway, mut client) = one(&shape, address);
    settled(&mut client);
    // It goes on reading, so its side of the keep alive holds; what it says does not come.
    target.set_faults(|faults| faults.hold_output = true);
    client.ask(BUY, 1, 0x200, 8);
    assert_eq!(client.io.answer().1, SCRAPPED);
    target.set_faults(|faults| faults.hold_output = false);
    settled(&mut client);
    let counts = gateway.counts();
    assert!(counts["keep_alive_lost"].as_u64().unwrap() >= 1, "{counts}");
}

#[test]
fn two_connections_with_the_same_command_id() {
    let target = peer(|_, _| Do::Hold);
    let gateway = Gateway::start(&Shape::default());
    gateway.list(target.address, 0, Ready);
    let (mut one, mut other) = (Client::connect(gateway.address), Client::connect(gateway.address));
    let (first, second) = (one.ask(BUY, 1, 0x100, 8), other.ask(BUY, 1, 0x200, 8));
    assert_eq!(first, second);
    let mut seen = Vec::new();
    until("both are at the node", || {
        seen.extend(arrivals(&target));
        seen.len() == 2
    });
    target.later.send((0x200, status::INTERNAL_ERROR)).unwrap();
    assert_eq!(other.io.answer(), (second, SCRAPPED));
    target.later.send((0x100, 0)).unwrap();
    assert_eq!(one.io.answer(), (first, status::SUCCESS));
    assert!(one.io.is_silent() && other.io.is_silent());
}

/// Its connection is of the process before; a command finds that out without harm.
#[test]
fn a_node_replaced_under_the_same_address() {
    let mut target = stand_in(bound());
    let address: SocketAddr = target.node.parse().unwrap();
    let (gateway, mut client) = one(&Shape::default(), address);
    settled(&mut client);
    target.kill();
    let target = stand_in(TcpListener::bind(address).unwrap());
    gateway.register.set_entry(&target.node, "hall-0", 0, Ready, Some(Clock::default().now() - 100.0), 0.0);
    settled(&mut client);
    until("a purchase is settled", || {
        client.ask(BUY, 1, 0x100, 8);
        client.io.answer().1 == status::SUCCESS
    });
}

#[test]
fn a_client_that_disconnects_while_its_command_waits() {
    // No node is listed: the command is held.
    let gateway = Gateway::start(&Shape::default());
    let mut client = Client::connect(gateway.address);
    client.ask(BUY, 1, 0x100, 8);
    // A flush is answered here, so what came before it has been taken.
    client.io.ask(Sqe { nsid: 1, ..Sqe::default() }, Vec::new(), 0);
    assert_eq!(client.io.answer().1, status::SUCCESS);
    drop(client);
    let target = peer(|_, _| Do::Answer(0));
    gateway.list(target.address, 0, Ready);
    let mut other = Client::connect(gateway.address);
    settled(&mut other);
    assert!(arrivals(&target).is_empty());
    let counts = gateway.counts();
    assert_eq!((&counts["lapsed"], &counts["scrapped"]), (&1.into(), &0.into()));
}

#[test]
fn a_client_that_disconnects_with_its_command_sent() {
    let target = peer(|_, marks| if marks.mark == 0x100 { Do::Hold } else { Do::Answer(0) });
    let (gateway, mut client) = one(&Shape::default(), target.address);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(target.arrived.recv_timeout(PATIENCE).unwrap(), (0x100, 0));
    drop(client);
    // The departure was there before this client came, so it is known when this one is served.
    let mut other = Client::connect(gateway.address);
    settled(&mut other);
    target.later.send((0x100, 0)).unwrap();
    settled(&mut other);
    assert!(arrivals(&target).is_empty());
    assert_eq!(gateway.counts()["lapsed"], 1);
}

#[test]
fn a_client_that_disconnects_half_answered() {
    let target = peer(|_, _| Do::Answer(0));
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    let mut other = Client::connect(gateway.address);
    client.ask(READ, 1, 0x100, 2048);
    let mut some = [0; 5000];
    client.io.stream.read_exact(&mut some).unwrap();
    drop(client);
    settled(&mut other);
    let counts = gateway.counts();
    assert_eq!(counts["open"], 0, "{counts}");
}

/// What a node has when its drain is told it may finish; what it takes to its grave is not sent again.
#[test_case(true; "and answers")]
#[test_case(false; "and dies before the answer")]
fn a_node_drained_mid_command(answers: bool) {
    let target = peer(|_, marks| match marks.mark {
        0x100 => Do::Hold,
        0x200 => Do::Close,
        _ => Do::Answer(0),
    });
    let (gateway, mut client) = one(&Shape { grace: 0.3, outer: 5.0, ..Shape::default() }, target.address);
    settled(&mut client);
    client.ask(BUY, 1, 0x100, 200);
    // The gateway's R2T is there, and its data goes out.
    assert!(client.io.pull());
    until("the command is at the node", || arrivals(&target).contains(&(0x100, 0)));
    gateway.list(target.address, 0, Draining);
    until("the drain is known", || {
        client.ask(READ, 1, 0xff00, 8);
        let (_, answer) = client.io.answer();
        answer == DECLINED
    });
    if answers {
        target.later.send((0x100, 0)).unwrap();
        assert_eq!(client.io.answer().1, status::SUCCESS);
    } else {
        gateway.list(target.address, 0, Removed);
        target.later.send((0x100, status::INTERNAL_ERROR)).unwrap();
        assert_eq!(client.io.answer().1, SCRAPPED);
    }
    assert!(arrivals(&target).is_empty());
}

/// The list changes all the time while it is read, in pieces: what the gateway ends up with is the last.
#[test]
fn a_discovery_log_that_changes_while_it_is_read() {
    let (old, new) = (peer(|_, _| Do::Answer(0)), peer(|_, _| Do::Answer(0)));
    let gateway = Gateway::start(&Shape { nodes: 401, volumes: 401, ..Shape::default() });
    let good = block_of(1, 401);
    for block in 0..401 {
        let [high, low] = (block as u16 + 256).to_be_bytes();
        let other = SocketAddr::from(([127, 3, high, low], 9));
        gateway.list(if block == good { old.address } else { other }, block, Ready);
    }
    let mut client = Client::connect(gateway.address);
    // Each change is told by an event and read in 13 pieces, while the next ones come.
    for round in 0..300u16 {
        let [high, low] = (round % 300 + 1000).to_be_bytes();
        gateway.list(SocketAddr::from(([127, 3, high, low], 9)), 100_000, Ready);
        std::thread::sleep(Duration::from_millis(2));
    }
    settled(&mut client);
    gateway.list(old.address, good, Removed);
    gateway.list(new.address, good, Ready);
    until("the last list is known", || {
        client.ask(READ, 1, 0x100, 8);
        client.io.answer();
        !arrivals(&new).is_empty()
    });
}

/// What is written is there for every opcode, and a comparison that finds a difference is an answer, not a failure.
#[test]
fn writes_zeroes_and_comparisons_reach_the_node() {
    use quaypath_nvme::command::{opcode, Marks};
    let target = stand_in(bound());
    let (gateway, mut client) = one(&Shape::default(), target.node.parse().unwrap());
    settled(&mut client);
    let mut mark = 0x1000;
    let mut run = |opcode: u8, fill: u8| {
        mark += 0x100;
        let band = if matches!(opcode, opcode::WRITE | opcode::WRITE_ZEROES) { BUY } else { READ };
        let marks = Marks { band, units: 1, mark, key: 1, ..Marks::default() };
        let sqe = marks.put(Sqe::transfer(opcode, 1, 40, 8));
        let data =
            if matches!(opcode, opcode::WRITE | opcode::COMPARE) { vec![fill; 4096] } else { Vec::new() };
        client.io.ask(sqe, data, if opcode == opcode::READ { 4096 } else { 0 });
        status::code(client.io.answer().1)
    };
    assert_eq!(run(opcode::WRITE, 7), status::SUCCESS);
    assert_eq!(run(opcode::COMPARE, 7), status::SUCCESS);
    assert_eq!(run(opcode::COMPARE, 8), status::COMPARE_FAILURE);
    assert_eq!(run(opcode::WRITE_ZEROES, 0), status::SUCCESS);
    assert_eq!(run(opcode::COMPARE, 0), status::SUCCESS);
    let counts = gateway.counts();
    assert_eq!(counts["scrapped"], 0, "{counts}");
}

/// A mark is its host's: another host's equal mark is another command, the same host's, after a reconnect, a repeat.
#[test]
fn a_repeat_is_told_by_host_and_mark() {
    let target =
        stand_in_with(bound(), vec![BandRule::default(), BandRule { tagged: Some(("all".into(), 60.0)) }]);
    let (gateway, mut client) = one(&Shape::default(), target.node.parse().unwrap());
    settled(&mut client);
    let write = |client: &mut Client, slba: u64, fill: u8| {
        let sqe = Client::sqe(BUY, 1, 0x100, 8);
        let sqe = Sqe { cdw: [slba as u32, 0, 7, 0, sqe.cdw[4], sqe.cdw[5]], ..sqe };
        client.io.ask(sqe, vec![fill; 4096], 0);
        assert_eq!(client.io.answer().1, status::SUCCESS);
    };
    write(&mut client, 0, 1);
    drop(client);
    write(&mut Client::connect(gateway.address), 0, 2);
    write(&mut Client::connect_as(gateway.address, "nqn.test:other:0"), 8, 3);
    let mut last = Client::connect(gateway.address);
    let mut same = |slba: u64, fill: u8| {
        use quaypath_nvme::command::{opcode, Marks};
        let sqe = Marks { band: READ, ..Marks::default() }.put(Sqe::transfer(opcode::COMPARE, 1, slba, 8));
        last.io.ask(sqe, vec![fill; 4096], 0);
        last.io.answer().1 == status::SUCCESS
    };
    assert!(same(0, 1), "the repeat did not take effect");
    assert!(same(8, 3), "the other host's write did");
}

/// The client program, as a new user runs it.
#[test]
fn the_client_program_drives_a_gateway() {
    let target = stand_in(bound());
    let (gateway, mut client) = one(&Shape::default(), target.node.parse().unwrap());
    settled(&mut client);
    let run = |arguments: &[&str], input: &[u8]| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_quaypath-nvme"))
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        child.stdin.take().unwrap().write_all(input).unwrap();
        let output = child.wait_with_output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code().unwrap(), output.stdout, text)
    };
    let at = gateway.address.to_string();
    let range = ["--namespace", "1", "--from", "16"];
    let data: Vec<u8> = (0..100_000u32).map(|at| (at % 253) as u8).collect();
    let on = |act: &'static str| [act, at.as_str()].into_iter().chain(range).collect::<Vec<_>>();
    assert_eq!(run(&on("write"), &data).0, 0);
    let (code, read, _) = run(&[&on("read")[..], &["--blocks", "196", "--digests", "both"]].concat(), &[]);
    assert_eq!(code, 0);
    assert!(read[..100_000] == data && read[100_000..].iter().all(|byte| *byte == 0));
    assert_eq!(run(&on("compare"), &data).0, 0);
    assert_eq!(run(&on("compare"), &[1; 512]).0, 1);
    assert_eq!(run(&["flush", &at, "--namespace", "1"], &[]).0, 0);
    let (code, text, _) = run(&["identify", &at], &[]);
    assert!(code == 0 && String::from_utf8_lossy(&text).contains("namespace 8: 1048576 blocks of 512 bytes"));
    let (code, text, _) = run(&["connect", &at], &[]);
    assert!(code == 0 && String::from_utf8_lossy(&text).contains("shut down"));
    let register = gateway.register.address.to_string();
    let (code, text, _) = run(&["discover", &register], &[]);
    assert!(
        code == 0 && String::from_utf8_lossy(&text).contains(&format!("{}  ready  block 0", target.node))
    );
    for (arguments, word) in [
        (vec!["read", &at, "--namespace", "77", "--from", "0"], "no such namespace"),
        (vec!["read", &at, "--namespace", "1", "--from", "1048570"], "past the namespace's end"),
        (vec!["read", &at, "--namespace", "1", "--from", "2044"], "over two extents"),
        (vec!["discover", &at], "register"),
        (vec!["identify", "127.0.0.1:1"], "nothing listens"),
        (vec!["write", &at, "--namespace", "1", "--from", "0"], "standard input"),
    ] {
        let (code, _, text) = run(&arguments, &[]);
        assert!(
            code == 2 && text.contains(word) && text.lines().count() == 1,
            "{arguments:?}: {code} {text}"
        );
    }
    let mut stream = Vec::new();
    quaypath_nvme::pdu::Pdu::Command { sqe: Sqe::transfer(2, 1, 0, 8), data: vec![] }.encode(&mut stream);
    let path = folder().join("stream");
    std::fs::write(&path, &stream).unwrap();
    let (code, text, _) = run(&["decode", path.to_str().unwrap()], &[]);
    assert!(code == 0 && String::from_utf8_lossy(&text).contains("CapsuleCmd  opcode 0x02"));
    stream.truncate(50);
    std::fs::write(&path, &stream).unwrap();
    assert_eq!(run(&["decode", path.to_str().unwrap()], &[]).0, 2);
    std::fs::remove_dir_all(path.parent().unwrap()).unwrap();
}
