//! Hard cases of the NVMe/TCP path from client to node, each caused on real sockets, and the client program run as a user
//! runs it.

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

/// Mark and shot of each command that the node has received since the last call, without those of `wait_until_served`.
fn arrivals(target: &Peer) -> Vec<(u64, u8)> {
    target.arrived.try_iter().filter(|(mark, _)| *mark != 0xff00).collect()
}

/// Starts a stand-in node that stores data.
fn start_stand_in(listener: TcpListener) -> Target {
    start_stand_in_with_bands(listener, Vec::new())
}

fn start_stand_in_with_bands(listener: TcpListener, bands: Vec<BandRule>) -> Target {
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

/// A listener on a free loopback port.
fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Starts a node that answers the command with mark 0x100 by these protocol violations, in order, and all others correctly.
fn start_rogue_peer(violations: &[u32]) -> Peer {
    let violations = violations.to_vec();
    start_peer(move |sqe, marks| {
        let mut bytes = Vec::new();
        violations.iter().for_each(|violation| encode_violation(*violation, sqe, &mut bytes));
        if marks.mark == 0x100 {
            PeerAction::SendBytes(bytes)
        } else {
            PeerAction::Answer(0)
        }
    })
}

/// A protocol violation by a node closes its connection. The purchase in flight is scrapped and not repeated, and the node
/// serves again over a new connection.
#[test_case(1; "an unknown id")]
#[test_case(2; "data past the length")]
#[test_case(3; "R2T beyond bounds")]
#[test_case(4; "a digest that was not agreed on")]
#[test_case(5; "garbage")]
fn a_node_that_violates_the_protocol(violation: u32) {
    let target = start_rogue_peer(&[violation]);
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, SCRAPPED);
    assert!(client.io.stays_silent());
    assert_eq!(arrivals(&target), [(0x100, 0)]);
    wait_until_served(&mut client);
    drop(gateway);
}

/// The first answer counts; the second closes the connection and changes nothing for the client.
#[test]
fn a_node_that_answers_twice() {
    let target = start_rogue_peer(&[0, 0]);
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, status::SUCCESS);
    assert!(client.io.stays_silent());
    wait_until_served(&mut client);
    assert_eq!(arrivals(&target), [(0x100, 0)]);
    drop(gateway);
}

/// Both sides of the gateway negotiate header and data digests, and reads succeed.
#[test]
fn negotiated_digests_are_used() {
    let target = start_stand_in(listener());
    let address = target.node.parse().unwrap();
    let (gateway, mut client) =
        start_with_node(&TestSettings { digests: "both", ..TestSettings::default() }, address);
    wait_until_served(&mut client);
    let format = Format { header_digest: true, data_digest: true, align: 7 };
    let mut second_client =
        Client::connect_with(gateway.address, Offer { format, insist: true, keep_alive_ms: 0 });
    wait_until_served(&mut second_client);
}

/// The settings require digests and the node refuses them: the node is not used, and its transactions are declined.
#[test]
fn a_node_that_refuses_required_digests_is_not_used() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    refuse_digests(&target);
    let (gateway, mut client) =
        start_with_node(&TestSettings { digests: "both", ..TestSettings::default() }, target.address);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, DECLINED);
    assert!(arrivals(&target).is_empty());
    assert!(gateway.counts()["connects_failed"].as_u64().unwrap() >= 1);
}

/// A client sends nothing for its keep alive time: its command is dropped as if it had disconnected.
#[test]
fn a_client_whose_keep_alive_expires() {
    let target =
        start_peer(|_, marks| if marks.mark == 0x100 { PeerAction::Hold } else { PeerAction::Answer(0) });
    let (gateway, mut client) =
        start_with_node(&TestSettings { outer_limit: 10.0, ..TestSettings::default() }, target.address);
    wait_until_served(&mut client);
    let mut silent = Client::connect_with(gateway.address, Offer { keep_alive_ms: 300, ..Offer::default() });
    silent.submit(READ, 1, 0x100, 8);
    wait_until("the shot is at the node", || arrivals(&target).contains(&(0x100, 0)));
    let mut remaining = Vec::new();
    let _ = silent.io.stream.read_to_end(&mut remaining);
    wait_until_served(&mut client);
    assert_eq!(gateway.counts()["lapsed"], 1);
}

/// A node does not answer a Keep Alive while a purchase is in flight: only the gateway considers the association lost.
#[test]
fn a_node_whose_keep_alive_expires_on_one_side_only() {
    let target = start_stand_in(listener());
    let address = target.node.parse().unwrap();
    let settings =
        TestSettings { keep_alive: 1.5, outer_limit: 10.0, half_pdu: 30.0, ..TestSettings::default() };
    let (gateway, mut client) = start_with_node(&settings, address);
    wait_until_served(&mut client);
    // The node continues to read, so its own keep alive does not expire, but its answers do not reach the gateway.
    target.set_faults(|faults| faults.hold_output = true);
    client.submit(BUY, 1, 0x200, 8);
    assert_eq!(client.io.next_completion().1, SCRAPPED);
    target.set_faults(|faults| faults.hold_output = false);
    wait_until_served(&mut client);
    let counts = gateway.counts();
    assert!(counts["keep_alive_lost"].as_u64().unwrap() >= 1, "{counts}");
}

#[test]
fn two_connections_with_the_same_command_id() {
    let target = start_peer(|_, _| PeerAction::Hold);
    let gateway = Gateway::start(&TestSettings::default());
    gateway.list_node(target.address, 0, Ready);
    let (mut first_client, mut second_client) =
        (Client::connect(gateway.address), Client::connect(gateway.address));
    let (first, second) = (first_client.submit(BUY, 1, 0x100, 8), second_client.submit(BUY, 1, 0x200, 8));
    assert_eq!(first, second);
    let mut seen = Vec::new();
    wait_until("both are at the node", || {
        seen.extend(arrivals(&target));
        seen.len() == 2
    });
    target.held_answers.send((0x200, status::INTERNAL_ERROR)).unwrap();
    assert_eq!(second_client.io.next_completion(), (second, SCRAPPED));
    target.held_answers.send((0x100, 0)).unwrap();
    assert_eq!(first_client.io.next_completion(), (first, status::SUCCESS));
    assert!(first_client.io.stays_silent() && second_client.io.stays_silent());
}

/// The gateway's connection belongs to the previous process at that address; it notices this with the next command, and no
/// transaction is lost.
#[test]
fn a_node_replaced_under_the_same_address() {
    let mut target = start_stand_in(listener());
    let address: SocketAddr = target.node.parse().unwrap();
    let (gateway, mut client) = start_with_node(&TestSettings::default(), address);
    wait_until_served(&mut client);
    target.kill();
    let target = start_stand_in(TcpListener::bind(address).unwrap());
    gateway.register.set_entry(&target.node, "hall-0", 0, Ready, Some(Clock::default().now() - 100.0), 0.0);
    wait_until_served(&mut client);
    wait_until("a purchase is settled", || {
        client.submit(BUY, 1, 0x100, 8);
        client.io.next_completion().1 == status::SUCCESS
    });
}

#[test]
fn a_client_that_disconnects_while_its_command_waits() {
    // No node is listed, so the command waits.
    let gateway = Gateway::start(&TestSettings::default());
    let mut client = Client::connect(gateway.address);
    client.submit(BUY, 1, 0x100, 8);
    // The gateway answers a flush itself, so after its answer the earlier command has been accepted.
    client.io.submit(Sqe { nsid: 1, ..Sqe::default() }, Vec::new(), 0);
    assert_eq!(client.io.next_completion().1, status::SUCCESS);
    drop(client);
    let target = start_peer(|_, _| PeerAction::Answer(0));
    gateway.list_node(target.address, 0, Ready);
    let mut second_client = Client::connect(gateway.address);
    wait_until_served(&mut second_client);
    assert!(arrivals(&target).is_empty());
    let counts = gateway.counts();
    assert_eq!((&counts["lapsed"], &counts["scrapped"]), (&1.into(), &0.into()));
}

#[test]
fn a_client_that_disconnects_with_its_command_sent() {
    let target =
        start_peer(|_, marks| if marks.mark == 0x100 { PeerAction::Hold } else { PeerAction::Answer(0) });
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(target.arrived.recv_timeout(MAX_WAIT).unwrap(), (0x100, 0));
    drop(client);
    // The disconnect happened before this client connected, so the gateway knows of it when it serves this client.
    let mut second_client = Client::connect(gateway.address);
    wait_until_served(&mut second_client);
    target.held_answers.send((0x100, 0)).unwrap();
    wait_until_served(&mut second_client);
    assert!(arrivals(&target).is_empty());
    assert_eq!(gateway.counts()["lapsed"], 1);
}

#[test]
fn a_client_that_disconnects_half_answered() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    let mut second_client = Client::connect(gateway.address);
    client.submit(READ, 1, 0x100, 2048);
    let mut part = [0; 5000];
    client.io.stream.read_exact(&mut part).unwrap();
    drop(client);
    wait_until_served(&mut second_client);
    let counts = gateway.counts();
    assert_eq!(counts["open"], 0, "{counts}");
}

/// A draining node may finish the commands that it has. A command whose node ends before the answer is not sent again.
#[test_case(true; "and answers")]
#[test_case(false; "and dies before the answer")]
fn a_node_drained_mid_command(answers: bool) {
    let target = start_peer(|_, marks| match marks.mark {
        0x100 => PeerAction::Hold,
        0x200 => PeerAction::Close,
        _ => PeerAction::Answer(0),
    });
    let (gateway, mut client) = start_with_node(
        &TestSettings { drain_grace: 0.3, outer_limit: 5.0, ..TestSettings::default() },
        target.address,
    );
    wait_until_served(&mut client);
    client.submit(BUY, 1, 0x100, 200);
    // The gateway's R2T has arrived, and the data is sent.
    assert!(client.io.receive());
    wait_until("the command is at the node", || arrivals(&target).contains(&(0x100, 0)));
    gateway.list_node(target.address, 0, Draining);
    wait_until("the drain is known", || {
        client.submit(READ, 1, 0xff00, 8);
        let (_, answer) = client.io.next_completion();
        answer == DECLINED
    });
    if answers {
        target.held_answers.send((0x100, 0)).unwrap();
        assert_eq!(client.io.next_completion().1, status::SUCCESS);
    } else {
        gateway.list_node(target.address, 0, Removed);
        target.held_answers.send((0x100, status::INTERNAL_ERROR)).unwrap();
        assert_eq!(client.io.next_completion().1, SCRAPPED);
    }
    assert!(arrivals(&target).is_empty());
}

/// The list changes continuously while the gateway reads it in pieces; the gateway ends with the last version.
#[test]
fn a_discovery_log_that_changes_while_it_is_read() {
    let (old, new) = (start_peer(|_, _| PeerAction::Answer(0)), start_peer(|_, _| PeerAction::Answer(0)));
    let gateway = Gateway::start(&TestSettings { nodes: 401, volumes: 401, ..TestSettings::default() });
    let served_block = block_of_volume(1, 401);
    for block in 0..401 {
        let [high, low] = (block as u16 + 256).to_be_bytes();
        let unused = SocketAddr::from(([127, 3, high, low], 9));
        gateway.list_node(if block == served_block { old.address } else { unused }, block, Ready);
    }
    let mut client = Client::connect(gateway.address);
    // Each change is announced by an event and read in 13 pieces while further changes follow.
    for round in 0..300u16 {
        let [high, low] = (round % 300 + 1000).to_be_bytes();
        gateway.list_node(SocketAddr::from(([127, 3, high, low], 9)), 100_000, Ready);
        std::thread::sleep(Duration::from_millis(2));
    }
    wait_until_served(&mut client);
    gateway.list_node(old.address, served_block, Removed);
    gateway.list_node(new.address, served_block, Ready);
    wait_until("the last list is known", || {
        client.submit(READ, 1, 0x100, 8);
        client.io.next_completion();
        !arrivals(&new).is_empty()
    });
}

/// Written data is visible to every opcode, and a comparison that finds a difference is a final answer, not a failure.
#[test]
fn writes_zeroes_and_comparisons_reach_the_node() {
    use quaypath_nvme::command::{opcode, Marks};
    let target = start_stand_in(listener());
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.node.parse().unwrap());
    wait_until_served(&mut client);
    let mut mark = 0x1000;
    let mut run = |opcode: u8, fill: u8| {
        mark += 0x100;
        let band = if matches!(opcode, opcode::WRITE | opcode::WRITE_ZEROES) { BUY } else { READ };
        let marks = Marks { band, units: 1, mark, key: 1, ..Marks::default() };
        let sqe = marks.put(Sqe::transfer(opcode, 1, 40, 8));
        let data =
            if matches!(opcode, opcode::WRITE | opcode::COMPARE) { vec![fill; 4096] } else { Vec::new() };
        client.io.submit(sqe, data, if opcode == opcode::READ { 4096 } else { 0 });
        status::code(client.io.next_completion().1)
    };
    assert_eq!(run(opcode::WRITE, 7), status::SUCCESS);
    assert_eq!(run(opcode::COMPARE, 7), status::SUCCESS);
    assert_eq!(run(opcode::COMPARE, 8), status::COMPARE_FAILURE);
    assert_eq!(run(opcode::WRITE_ZEROES, 0), status::SUCCESS);
    assert_eq!(run(opcode::COMPARE, 0), status::SUCCESS);
    let counts = gateway.counts();
    assert_eq!(counts["scrapped"], 0, "{counts}");
}

/// A mark identifies a command of one host: an equal mark of another host is another command; an equal mark of the same host
/// after a reconnect is a repeat.
#[test]
fn a_repeat_is_recognized_by_host_and_mark() {
    let target = start_stand_in_with_bands(
        listener(),
        vec![BandRule::default(), BandRule { tagged: Some(("all".into(), 60.0)) }],
    );
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.node.parse().unwrap());
    wait_until_served(&mut client);
    let write = |client: &mut Client, slba: u64, fill: u8| {
        let sqe = Client::sqe(BUY, 1, 0x100, 8);
        let sqe = Sqe { cdw: [slba as u32, 0, 7, 0, sqe.cdw[4], sqe.cdw[5]], ..sqe };
        client.io.submit(sqe, vec![fill; 4096], 0);
        assert_eq!(client.io.next_completion().1, status::SUCCESS);
    };
    write(&mut client, 0, 1);
    drop(client);
    write(&mut Client::connect(gateway.address), 0, 2);
    write(&mut Client::connect_as(gateway.address, "nqn.test:other:0"), 8, 3);
    let mut reader = Client::connect(gateway.address);
    let mut has_content = |slba: u64, fill: u8| {
        use quaypath_nvme::command::{opcode, Marks};
        let sqe = Marks { band: READ, ..Marks::default() }.put(Sqe::transfer(opcode::COMPARE, 1, slba, 8));
        reader.io.submit(sqe, vec![fill; 4096], 0);
        reader.io.next_completion().1 == status::SUCCESS
    };
    assert!(has_content(0, 1), "the repeat did not take effect");
    assert!(has_content(8, 3), "the other host's write took effect");
}

/// Runs each command of the client program as a user does.
#[test]
fn the_client_program_drives_a_gateway() {
    let target = start_stand_in(listener());
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.node.parse().unwrap());
    wait_until_served(&mut client);
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
    let address = gateway.address.to_string();
    let range = ["--namespace", "1", "--from", "16"];
    let data: Vec<u8> = (0..100_000u32).map(|index| (index % 253) as u8).collect();
    let with_range =
        |command: &'static str| [command, address.as_str()].into_iter().chain(range).collect::<Vec<_>>();
    assert_eq!(run(&with_range("write"), &data).0, 0);
    let (code, read, _) =
        run(&[&with_range("read")[..], &["--blocks", "196", "--digests", "both"]].concat(), &[]);
    assert_eq!(code, 0);
    assert!(read[..100_000] == data && read[100_000..].iter().all(|byte| *byte == 0));
    assert_eq!(run(&with_range("compare"), &data).0, 0);
    assert_eq!(run(&with_range("compare"), &[1; 512]).0, 1);
    assert_eq!(run(&["flush", &address, "--namespace", "1"], &[]).0, 0);
    let (code, text, _) = run(&["identify", &address], &[]);
    assert!(code == 0 && String::from_utf8_lossy(&text).contains("namespace 8: 1048576 blocks of 512 bytes"));
    let (code, text, _) = run(&["connect", &address], &[]);
    assert!(code == 0 && String::from_utf8_lossy(&text).contains("shut down"));
    let register = gateway.register.address.to_string();
    let (code, text, _) = run(&["discover", &register], &[]);
    assert!(
        code == 0 && String::from_utf8_lossy(&text).contains(&format!("{}  ready  block 0", target.node))
    );
    for (arguments, message) in [
        (vec!["read", &address, "--namespace", "77", "--from", "0"], "no such namespace"),
        (vec!["read", &address, "--namespace", "1", "--from", "1048570"], "past the namespace's end"),
        (vec!["read", &address, "--namespace", "1", "--from", "2044"], "over two extents"),
        (vec!["discover", &address], "register"),
        (vec!["identify", "127.0.0.1:1"], "nothing listens"),
        (vec!["write", &address, "--namespace", "1", "--from", "0"], "standard input"),
    ] {
        let (code, _, text) = run(&arguments, &[]);
        assert!(
            code == 2 && text.contains(message) && text.lines().count() == 1,
            "{arguments:?}: {code} {text}"
        );
    }
    let mut stream = Vec::new();
    quaypath_nvme::pdu::Pdu::Command { sqe: Sqe::transfer(2, 1, 0, 8), data: vec![] }.encode(&mut stream);
    let path = temp_folder().join("stream");
    std::fs::write(&path, &stream).unwrap();
    let (code, text, _) = run(&["decode", path.to_str().unwrap()], &[]);
    assert!(code == 0 && String::from_utf8_lossy(&text).contains("CapsuleCmd  opcode 0x02"));
    stream.truncate(50);
    std::fs::write(&path, &stream).unwrap();
    assert_eq!(run(&["decode", path.to_str().unwrap()], &[]).0, 2);
    std::fs::remove_dir_all(path.parent().unwrap()).unwrap();
}
