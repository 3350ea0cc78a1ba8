//! Hard cases of a running gateway, each caused on real sockets.

mod helper;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use helper::*;
use quaypath::types::NodeCondition::{Draining, Ready};
use quaypath_nvme::command::{Cqe, Sqe, ANY_CONTROLLER};
use quaypath_nvme::controller::Event as Asked;
use quaypath_nvme::host::Offer;
use quaypath_nvme::pdu::{Decoder, Pdu};
use quaypath_nvme::status;
use rustix::process::Signal;
use test_case::test_case;

/// Mark and shot of each command that the node has received since the last call.
fn arrivals(target: &Peer) -> Vec<(u64, u8)> {
    target.arrived.try_iter().collect()
}

/// Guards against a second shot of a once-only write whose node received the header, asked for the data, and closed the
/// connection after a part of it.
#[test]
fn a_purchase_is_sent_once_to_a_node_that_closes_between_header_and_data() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let headers = std::thread::spawn(move || {
        let mut headers = 0;
        listener.set_nonblocking(false).unwrap();
        // An admin queue and an I/O queue; then both again if the gateway connects again.
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
            let mut machine = quaypath_nvme::controller::Controller::default();
            let mut decoder = Decoder::default();
            let mut buffer = [0; 2048];
            let (mut events, mut write) = (Vec::new(), false);
            let mut admin = quaypath_nvme::admin::Admin::new(0.0, 1, 0);
            while let Ok(count @ 1..) = stream.read(&mut buffer) {
                decoder.feed(&buffer[..count]);
                let pdu = decoder.next_pdu().unwrap();
                let is_write = matches!(&pdu, Some(Pdu::Command { sqe: Sqe { opcode: 1, .. }, .. }));
                if write && !is_write {
                    return headers;
                }
                write |= is_write;
                headers += usize::from(is_write);
                machine.feed(&buffer[..count], &mut events).unwrap();
                for event in events.drain(..) {
                    match event {
                        Asked::Connect { .. } => machine.accept(1),
                        Asked::Command { sqe, .. } => answer_admin(&mut machine, &mut admin, &sqe),
                        Asked::Terminated { .. } => {}
                    }
                }
                stream.write_all(&std::mem::take(&mut machine.out)).unwrap();
                if machine.queue() == 0 && admin.queues() == 1 {
                    // The admin queue stays open, but is no longer served.
                    let keep = stream.try_clone().unwrap();
                    std::thread::spawn(move || {
                        let _ = (&keep).read(&mut [0; 64]);
                        std::thread::sleep(Duration::from_secs(5));
                    });
                    break;
                }
            }
        }
        headers
    });
    let gateway = Gateway::start(&TestSettings::default());
    gateway.list_node(address, 0, Ready);
    let mut client = Client::connect(gateway.address);
    client.submit(BUY, 1, 0x100, 200);
    assert_eq!(client.io.next_completion().1, SCRAPPED);
    assert!(client.io.stays_silent());
    assert_eq!(headers.join().unwrap(), 1);
    let counts = gateway.counts();
    assert_eq!((&counts["taken"], &counts["shots"], &counts["scrapped"]), (&1.into(), &1.into(), &1.into()));
}

/// The gateway is stopped from before the answer until after the time limit, so that it finds both at once.
#[test]
fn an_answer_found_together_with_its_timeout_settles_the_transaction() {
    let target =
        start_peer(|_, marks| if marks.mark == 0x100 { PeerAction::Hold } else { PeerAction::Answer(0) });
    let (gateway, mut client) =
        start_with_node(&TestSettings { outer_limit: 1.0, ..TestSettings::default() }, target.address);
    wait_until_served(&mut client);
    arrivals(&target);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(target.arrived.recv_timeout(MAX_WAIT).unwrap().0, 0x100);
    gateway.signal(Signal::STOP);
    target.held_answers.send((0x100, 0)).unwrap();
    std::thread::sleep(Duration::from_millis(1300));
    gateway.signal(Signal::CONT);
    assert_eq!(client.io.next_completion().1, status::SUCCESS);
    assert!(client.io.stays_silent());
    assert!(arrivals(&target).is_empty());
    assert_eq!(gateway.counts()["scrapped"], 0);
}

#[test_case(BUY, SCRAPPED, 1; "once only: scrapped, one shot")]
#[test_case(READ, status::SUCCESS, 2; "repeatable: sent again")]
fn a_command_reset_after_its_last_byte(band: u8, expected: u16, shots: usize) {
    let target = start_peer(|_, marks| match (marks.mark, marks.shot) {
        (0x100, 0) => PeerAction::Close,
        _ => PeerAction::Answer(0),
    });
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    arrivals(&target);
    client.submit(band, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, expected);
    assert!(client.io.stays_silent());
    assert_eq!(arrivals(&target).len(), shots);
    drop(gateway);
}

/// A client disconnects after half of a write's data: no transaction is accepted and nothing is sent to the node.
#[test]
fn a_write_whose_client_disconnects_midway_is_not_sent() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    arrivals(&target);
    let sqe = Client::sqe(BUY, 1, 0x100, 400);
    let (_, bytes) = client.io.host.submit(sqe, vec![1; sqe.length()], 0).unwrap();
    client.io.stream.write_all(&bytes).unwrap();
    // The R2T has arrived; half of the data that it asks for is sent.
    let mut buffer = [0; 4096];
    let count = client.io.stream.read(&mut buffer).unwrap();
    client.io.host.feed(&buffer[..count], &mut Vec::new()).unwrap();
    let half = client.io.host.out.len() / 2;
    assert!(half > 0);
    client.io.stream.write_all(&client.io.host.out[..half]).unwrap();
    drop(client);
    let mut second_client = Client::connect(gateway.address);
    second_client.submit(READ, 1, 0x200, 8);
    assert_eq!(second_client.io.next_completion().1, status::SUCCESS);
    let seen = arrivals(&target);
    assert!(seen.iter().all(|(mark, _)| *mark != 0x100), "{seen:?}");
    let counts = gateway.counts();
    assert_eq!(counts["lapsed"], 0);
}

/// An Abort cancels the shot in flight; the late answer of the node is recognized and dropped.
#[test]
fn an_aborted_command_is_answered_once_and_the_late_answer_is_dropped() {
    let target =
        start_peer(|_, marks| if marks.mark == 0x100 { PeerAction::Hold } else { PeerAction::Answer(0) });
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    let cid = client.submit(READ, 1, 0x100, 8);
    wait_until("the shot is at the node", || arrivals(&target).iter().any(|(mark, _)| *mark == 0x100));
    client.admin.submit(Sqe::abort(1, cid), Vec::new(), 0);
    assert_eq!(client.io.next_completion(), (cid, status::ABORTED_BY_REQUEST));
    assert_eq!(client.admin.next_completion().1, status::SUCCESS);
    target.held_answers.send((0x100, 0)).unwrap();
    wait_until_served(&mut client);
    assert!(client.io.stays_silent());
    let counts = gateway.counts();
    assert_eq!((&counts["lapsed"], &counts["late_answers"]), (&1.into(), &1.into()));
}

/// The node does not read, so commands wait in the kernel's socket buffers and in the gateway's send buffer when the drain is
/// listed. No command is sent after the drain grace, and every transaction gets its answer.
#[test]
fn a_drain_listed_while_commands_wait_in_the_send_buffer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, connections) = std::sync::mpsc::channel::<TcpStream>();
    std::thread::spawn(move || {
        // Completes the handshakes, then reads nothing more.
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut machine = quaypath_nvme::controller::Controller::default();
            let (mut buffer, mut events) = ([0; 2048], Vec::new());
            let mut admin = quaypath_nvme::admin::Admin::new(0.0, 1, 0);
            // Serves the admin queue until it has created one I/O queue, and the I/O queue until it is connected.
            let ready = |machine: &quaypath_nvme::controller::Controller, queues| {
                machine.state() == quaypath_nvme::controller::State::Ready
                    && (machine.queue() > 0 || queues == 1)
            };
            while !ready(&machine, admin.queues()) {
                let count = stream.read(&mut buffer).unwrap();
                machine.feed(&buffer[..count], &mut events).unwrap();
                for event in events.drain(..) {
                    match event {
                        Asked::Connect { .. } => machine.accept(1),
                        Asked::Command { sqe, .. } => answer_admin(&mut machine, &mut admin, &sqe),
                        Asked::Terminated { .. } => {}
                    }
                }
                stream.write_all(&std::mem::take(&mut machine.out)).unwrap();
            }
            connected.send(stream).unwrap();
        }
    });
    let settings =
        TestSettings { outer_limit: 10.0, drain_grace: 0.5, half_pdu: 30.0, ..TestSettings::default() };
    let gateway = Gateway::start(&settings);
    gateway.list_node(address, 0, Ready);
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(gateway.address)).collect();
    // Writes with in-capsule data, 8 KiB each: far more than the scheduler sends to one node at a time. None is answered.
    for (index, client) in clients.iter_mut().enumerate() {
        for nth in 0..100u64 {
            client.submit(BUY, 1 + (nth % 8) as u32, 0x10000 * (index as u64 + 1) + 0x100 * nth, 16);
        }
    }
    let _admin = connections.recv_timeout(MAX_WAIT).unwrap();
    let mut io = connections.recv_timeout(MAX_WAIT).unwrap();
    // The node has received bytes, so the drain finds commands in flight.
    io.set_read_timeout(Some(MAX_WAIT)).unwrap();
    io.peek(&mut [0]).unwrap();
    gateway.list_node(address, 0, Draining);
    let drained = Instant::now();
    let mut answers = 0;
    for client in &mut clients {
        for _ in 0..100 {
            let answer = client.io.next_completion().1;
            assert!([SCRAPPED, DECLINED].contains(&answer), "{answer:x}");
            answers += 1;
        }
    }
    assert_eq!(answers, 2000);
    std::thread::sleep((Duration::from_millis(700)).saturating_sub(drained.elapsed()));
    // Commands that arrived before are readable; commands still in the gateway's send buffer must not arrive.
    let mut bytes = Vec::new();
    io.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let _ = io.read_to_end(&mut bytes);
    let mut decoder = Decoder::default();
    decoder.feed(&bytes);
    let mut commands = 0;
    while let Ok(Some(_)) = decoder.next_pdu() {
        commands += 1;
    }
    let counts = gateway.counts();
    let shots = counts["shots"].as_u64().unwrap();
    assert!(commands <= shots, "{commands} commands read, {shots} shots");
    assert!(
        counts["drain_resets"].as_u64().unwrap() >= 1 || commands == shots,
        "{commands} read of {counts}"
    );
    assert_eq!(counts["taken"], 2000);
}

/// The gateway is stopped for 2 s and then finds answers, timeouts, new commands and a disconnected client at once.
#[test]
fn a_gateway_stopped_for_two_seconds_handles_all_pending_events() {
    let target =
        start_peer(|_, marks| if marks.mark < 0x1000 { PeerAction::Hold } else { PeerAction::Answer(0) });
    let (gateway, mut client) =
        start_with_node(&TestSettings { outer_limit: 3.0, ..TestSettings::default() }, target.address);
    wait_until_served(&mut client);
    let mut disconnecting = Client::connect(gateway.address);
    let held: Vec<u64> = (1..=5).map(|number| number * 0x100).collect();
    for mark in &held {
        client.submit(BUY, 1, *mark, 8);
    }
    disconnecting.submit(BUY, 2, 0x600, 8);
    let mut seen = Vec::new();
    wait_until("a first shot is at the node", || {
        seen.extend(arrivals(&target));
        seen.iter().any(|(mark, _)| *mark < 0x1000)
    });
    gateway.signal(Signal::STOP);
    held.iter().for_each(|mark| target.held_answers.send((*mark, 0)).unwrap());
    for number in 0..20 {
        client.submit(BUY, 3, 0x1000 + 0x100 * number, 8);
    }
    drop(disconnecting);
    std::thread::sleep(Duration::from_secs(2));
    gateway.signal(Signal::CONT);
    let answers: Vec<(u16, u16)> = (0..25).map(|_| client.io.next_completion()).collect();
    let mut cids: Vec<u16> = answers.iter().map(|(cid, _)| *cid).collect();
    cids.sort_unstable();
    cids.dedup();
    assert_eq!(cids.len(), 25, "each command gets one answer");
    assert!(client.io.stays_silent());
    seen.extend(arrivals(&target));
    let mut marks: Vec<u64> = seen.iter().map(|(mark, _)| *mark).filter(|mark| *mark != 0xff00).collect();
    let total = marks.len();
    marks.sort_unstable();
    marks.dedup();
    assert_eq!(marks.len(), total, "no purchase was sent twice");
    assert!(gateway.counts()["stalls"].as_u64().unwrap() >= 1);
}

/// 500 nodes refuse connections at the same moment: their transactions are declined, and the reachable node serves.
#[test]
fn five_hundred_connections_refused_at_once() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    // 7 and 501 have no common factor, so each volume is on its own node.
    let settings = TestSettings { nodes: 501, volumes: 501, ..TestSettings::default() };
    let gateway = Gateway::start(&settings);
    let closed = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let reachable_block = block_of_volume(1, 501);
    for block in 0..501 {
        // Distinct loopback addresses with a closed port.
        let [high, low] = (block as u16 + 256).to_be_bytes();
        let address = std::net::SocketAddr::from(([127, 2, high, low], closed.port()));
        gateway.list_node(if block == reachable_block { target.address } else { address }, block, Ready);
    }
    let mut clients: Vec<Client> = (0..5).map(|_| Client::connect(gateway.address)).collect();
    wait_until_served(&mut clients[0]);
    for number in 0..500u32 {
        let client = &mut clients[number as usize / 100];
        client.submit(READ, number + 2, 0x100 * u64::from(number + 1), 8);
    }
    for number in 0..500 {
        assert_eq!(clients[number / 100].io.next_completion().1, DECLINED);
    }
    wait_until_served(&mut clients[0]);
    let counts = gateway.counts();
    assert!(counts["connects_failed"].as_u64().unwrap() >= 500, "{counts}");
    assert!(counts["declined"].as_u64().unwrap() >= 500 && counts["open"] == 0, "{counts}");
}

/// 500 clients connect to a gateway that allows 8 connections: the connections over the limit are closed, and the client that
/// connected first is still served.
#[test]
fn connections_over_the_limit_are_closed_and_the_first_client_is_served() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (gateway, mut client) =
        start_with_node(&TestSettings { max_connections: 8, ..TestSettings::default() }, target.address);
    let flood: Vec<TcpStream> = (0..500).map(|_| TcpStream::connect(gateway.address).unwrap()).collect();
    let closed = flood.iter().filter(|stream| {
        stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
        let mut stream: &TcpStream = stream;
        matches!(stream.read(&mut [0; 8]), Ok(0))
    });
    assert!(closed.take(494).count() == 494);
    wait_until_served(&mut client);
}

#[test_case(&[0, 0, 128]; "half a header")]
#[test_case(&[0, 0, 128, 0, 128, 0, 0, 0, 0, 0]; "half a PDU")]
fn a_client_that_stops_within_a_pdu_is_closed(bytes: &[u8]) {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (gateway, mut client) =
        start_with_node(&TestSettings { half_pdu: 0.5, ..TestSettings::default() }, target.address);
    wait_until_served(&mut client);
    let mut stuck = TcpStream::connect(gateway.address).unwrap();
    stuck.write_all(bytes).unwrap();
    stuck.set_read_timeout(Some(MAX_WAIT)).unwrap();
    assert_eq!(stuck.read(&mut [0; 64]).unwrap(), 0);
    wait_until_served(&mut client);
}

/// Guards against a gateway without timers, which never gives an answer that waits for a time: a client that stopped within a
/// command on two queues of one association ended their task with a panic (docs/incidents/ended-timers.md).
#[test]
fn a_client_that_stops_within_commands_on_two_queues_is_closed() {
    let target =
        start_peer(|_, marks| if marks.mark == 0x100 { PeerAction::Hold } else { PeerAction::Answer(0) });
    let (gateway, mut client) =
        start_with_node(&TestSettings { half_pdu: 0.5, ..TestSettings::default() }, target.address);
    wait_until_served(&mut client);
    let name = "nqn.test:client:stops";
    let (_admin, controller) = Queue::open(gateway.address, 0, ANY_CONTROLLER, Offer::default(), name);
    let mut queues: Vec<Queue> = (1..=2)
        .map(|number| Queue::open(gateway.address, number, controller, Offer::default(), name).0)
        .collect();
    for queue in &mut queues {
        let (_, command) = queue.host.submit(Client::sqe(READ, 1, 0x200, 8), Vec::new(), 4096).unwrap();
        queue.stream.write_all(&command[..40]).unwrap();
    }
    for queue in &mut queues {
        let end = queue.stream.read(&mut [0; 64]);
        assert!(end.is_err() || end.is_ok_and(|count| count == 0), "closed");
    }
    // The node holds its answer, so the transaction ends by its outer limit.
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, SCRAPPED);
    assert_eq!(arrivals(&target).iter().filter(|(mark, _)| *mark == 0x200).count(), 0);
}

/// A node sends half a completion and nothing more: the gateway closes the connection, scraps the purchase, and does not
/// repeat it.
#[test]
fn a_node_that_stops_within_a_pdu_is_disconnected() {
    let mut half = Vec::new();
    Pdu::Response(Cqe::default()).encode(&mut half);
    half.truncate(10);
    let target = start_peer(move |_, marks| {
        if marks.mark == 0x100 {
            PeerAction::SendBytes(half.clone())
        } else {
            PeerAction::Answer(0)
        }
    });
    let (gateway, mut client) = start_with_node(
        &TestSettings { half_pdu: 0.3, outer_limit: 5.0, ..TestSettings::default() },
        target.address,
    );
    wait_until_served(&mut client);
    arrivals(&target);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, SCRAPPED);
    assert_eq!(arrivals(&target), [(0x100, 0)]);
    wait_until_served(&mut client);
    drop(gateway);
}

#[test]
fn garbage_from_a_client_is_reported_and_its_connection_closed() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    let mut garbage = TcpStream::connect(gateway.address).unwrap();
    garbage.write_all(&[0x5a; 4096]).unwrap();
    garbage.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let mut bytes = Vec::new();
    let _ = garbage.read_to_end(&mut bytes);
    let mut decoder = Decoder::default();
    decoder.feed(&bytes);
    assert!(matches!(decoder.next_pdu(), Ok(Some(Pdu::C2hTerm { .. }))), "{bytes:?}");
    wait_until_served(&mut client);
}

#[test]
fn garbage_from_a_node_fails_only_the_shot_in_flight() {
    let target = start_peer(|_, marks| {
        if marks.mark == 0x100 {
            PeerAction::SendBytes(vec![0x5a; 300])
        } else {
            PeerAction::Answer(0)
        }
    });
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    arrivals(&target);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, SCRAPPED);
    assert_eq!(arrivals(&target), [(0x100, 0)]);
    wait_until_served(&mut client);
    drop(gateway);
}

/// A node that answers "queue full" has not run the command, so even a purchase may be sent again.
#[test]
fn commands_refused_by_a_full_node_are_retried() {
    let target = start_peer(|_, marks| {
        if marks.mark == 0x100 && marks.shot == 0 {
            PeerAction::Answer(status::FULL)
        } else {
            PeerAction::Answer(0)
        }
    });
    let (gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    arrivals(&target);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, status::SUCCESS);
    assert_eq!(arrivals(&target), [(0x100, 0), (0x100, 1)]);
    drop(gateway);
}

/// A gateway that is killed and started again without a reachable register serves by its stored list.
#[test]
fn a_restarted_gateway_serves_by_its_stored_list() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (mut gateway, mut client) = start_with_node(&TestSettings::default(), target.address);
    wait_until_served(&mut client);
    drop(client);
    gateway.restart_without_register(target.address);
    let mut client = Client::connect(gateway.address);
    client.submit(BUY, 1, 0x100, 8);
    assert_eq!(client.io.next_completion().1, status::SUCCESS);
}

/// Transactions over the limit of open ones are declined before they reach the scheduler, with a retry time.
#[test]
fn transactions_over_the_limit_are_refused() {
    let target =
        start_peer(|_, marks| if marks.mark < 0x1000 { PeerAction::Hold } else { PeerAction::Answer(0) });
    let (gateway, mut client) = start_with_node(
        &TestSettings { max_open: 10, outer_limit: 5.0, ..TestSettings::default() },
        target.address,
    );
    wait_until_served(&mut client);
    for number in 1..=15u64 {
        client.submit(READ, 1, number * 0x100, 8);
    }
    (0..5).for_each(|_| assert_eq!(client.io.next_completion().1, DECLINED));
    let counts = gateway.counts();
    assert_eq!(counts["turned_away"], 5, "{counts}");
}

/// A client sends commands and does not read the answers: its commands are refused, then its connection is closed. Other
/// clients are served meanwhile.
#[test]
fn a_client_that_does_not_read_is_closed_and_the_others_served() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (gateway, mut client) =
        start_with_node(&TestSettings { half_pdu: 0.5, ..TestSettings::default() }, target.address);
    wait_until_served(&mut client);
    let mut greedy = Client::connect(gateway.address);
    let mut submitted = 0u64;
    while greedy.io.host.has_room() {
        submitted += 1;
        greedy.submit(READ, 1, submitted * 0x100, 2048);
    }
    wait_until_served(&mut client);
    let greedy = &mut greedy.io.stream;
    wait_until("the greedy client is closed", || {
        // Reads none of its answers; checks only whether the gateway has closed the connection.
        wait_until_served(&mut client);
        closed(greedy)
    });
    wait_until_served(&mut client);
}

/// Whether the peer has closed the connection, even if data is still unread.
fn closed(stream: &TcpStream) -> bool {
    use rustix::event::{poll, PollFd, PollFlags};
    let mut poll_fds = [PollFd::new(stream, PollFlags::RDHUP)];
    let no_wait = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut poll_fds, Some(&no_wait)).is_ok()
        && poll_fds[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// A connection to a node that is not used is closed, and opened again when it is needed.
#[test]
fn an_idle_connection_is_closed_and_reopened() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (gateway, mut client) =
        start_with_node(&TestSettings { idle_timeout: 0.3, ..TestSettings::default() }, target.address);
    wait_until_served(&mut client);
    std::thread::sleep(Duration::from_millis(1200));
    wait_until_served(&mut client);
    let counts = gateway.counts();
    assert!(counts["connects"].as_u64().unwrap() >= 2, "{counts}");
}

/// Guards against closing a busy connection as stalled, because it is almost always in the middle of a PDU when checked.
#[test]
fn a_busy_client_is_not_closed_as_stalled() {
    let target = start_peer(|_, _| PeerAction::Answer(0));
    let (gateway, mut client) =
        start_with_node(&TestSettings { half_pdu: 0.3, ..TestSettings::default() }, target.address);
    wait_until_served(&mut client);
    let start = Instant::now();
    let sqe = Client::sqe(BUY, 1, 0, 16);
    let (mut nth, mut tail) = (0, Vec::new());
    // Every socket write ends in the middle of a PDU, for four times the time limit of an incomplete PDU.
    while start.elapsed() < Duration::from_millis(1200) {
        nth += 0x100;
        let (_, bytes) = client.io.host.submit(Sqe { mptr: nth, ..sqe }, vec![1; sqe.length()], 0).unwrap();
        let mut out = std::mem::replace(&mut tail, bytes[4000..].to_vec());
        out.extend_from_slice(&bytes[..4000]);
        client.io.stream.write_all(&out).unwrap();
        if nth > 0x100 {
            assert_eq!(client.io.next_completion().1, status::SUCCESS);
        }
    }
    client.io.stream.write_all(&tail).unwrap();
    assert_eq!(client.io.next_completion().1, status::SUCCESS);
    drop(gateway);
}
