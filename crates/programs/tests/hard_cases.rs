//! The hard cases of the running initiator, each caused on sockets.

mod helper;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use helper::*;
use quaypath::types::NodeCondition::{Draining, Ready};
use quaypath_nvme::command::{Cqe, Sqe};
use quaypath_nvme::controller::Event as Asked;
use quaypath_nvme::pdu::{Decoder, Pdu};
use quaypath_nvme::status;
use rustix::process::Signal;
use test_case::test_case;

fn arrivals(target: &Peer) -> Vec<(u64, u8)> {
    target.arrived.try_iter().collect()
}

/// A node that takes the header of a large write, asks for its data, and dies with half of it.
#[test]
fn a_target_that_dies_between_header_and_data_gets_a_purchase_once() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let headers = std::thread::spawn(move || {
        let mut headers = 0;
        listener.set_nonblocking(false).unwrap();
        // Admin queue, I/O queue; then the same again, should the gateway try again.
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
                    // The admin queue is only kept open.
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
    let gateway = Gateway::start(&Shape::default());
    gateway.list(address, 0, Ready);
    let mut client = Client::connect(gateway.address);
    client.ask(BUY, 1, 0x100, 200);
    assert_eq!(client.io.answer().1, SCRAPPED);
    assert!(client.io.is_silent());
    assert_eq!(headers.join().unwrap(), 1);
    let counts = gateway.counts();
    assert_eq!((&counts["taken"], &counts["shots"], &counts["scrapped"]), (&1.into(), &1.into(), &1.into()));
}

/// The gateway gets no turn from before the answer until after the time-out: both wait for it at once.
#[test]
fn an_answer_and_its_time_out_in_one_turn_settle_the_transaction() {
    let target = peer(|_, marks| if marks.mark == 0x100 { Do::Hold } else { Do::Answer(0) });
    let (gateway, mut client) = one(&Shape { outer: 1.0, ..Shape::default() }, target.address);
    settled(&mut client);
    arrivals(&target);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(target.arrived.recv_timeout(PATIENCE).unwrap().0, 0x100);
    gateway.signal(Signal::STOP);
    target.later.send((0x100, 0)).unwrap();
    std::thread::sleep(Duration::from_millis(1300));
    gateway.signal(Signal::CONT);
    assert_eq!(client.io.answer().1, status::SUCCESS);
    assert!(client.io.is_silent());
    assert!(arrivals(&target).is_empty());
    assert_eq!(gateway.counts()["scrapped"], 0);
}

#[test_case(BUY, SCRAPPED, 1; "once only: scrapped, one shot")]
#[test_case(READ, status::SUCCESS, 2; "repeatable: sent again")]
fn a_command_reset_after_its_last_byte(band: u8, expected: u16, shots: usize) {
    let target = peer(|_, marks| match (marks.mark, marks.shot) {
        (0x100, 0) => Do::Close,
        _ => Do::Answer(0),
    });
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    arrivals(&target);
    client.ask(band, 1, 0x100, 8);
    assert_eq!(client.io.answer().1, expected);
    assert!(client.io.is_silent());
    assert_eq!(arrivals(&target).len(), shots);
    drop(gateway);
}

/// Half a write's data and gone: nothing was taken, nothing is sent.
#[test]
fn a_client_that_leaves_mid_write_leaves_nothing_behind() {
    let target = peer(|_, _| Do::Answer(0));
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    arrivals(&target);
    let sqe = Client::sqe(BUY, 1, 0x100, 400);
    let (_, bytes) = client.io.host.submit(sqe, vec![1; sqe.length()], 0).unwrap();
    client.io.stream.write_all(&bytes).unwrap();
    // The R2T is there; half of what it asks for goes out.
    let mut buffer = [0; 4096];
    let count = client.io.stream.read(&mut buffer).unwrap();
    client.io.host.feed(&buffer[..count], &mut Vec::new()).unwrap();
    let half = client.io.host.out.len() / 2;
    assert!(half > 0);
    client.io.stream.write_all(&client.io.host.out[..half]).unwrap();
    drop(client);
    let mut other = Client::connect(gateway.address);
    other.ask(READ, 1, 0x200, 8);
    assert_eq!(other.io.answer().1, status::SUCCESS);
    let seen = arrivals(&target);
    assert!(seen.iter().all(|(mark, _)| *mark != 0x100), "{seen:?}");
    let counts = gateway.counts();
    assert_eq!(counts["lapsed"], 0);
}

/// A caller that says so leaves a shot that is called off; its late answer is recognised and dropped.
#[test]
fn a_caller_who_aborts_is_answered_once_and_the_late_answer_is_dropped() {
    let target = peer(|_, marks| if marks.mark == 0x100 { Do::Hold } else { Do::Answer(0) });
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    let cid = client.ask(READ, 1, 0x100, 8);
    until("the shot is at the node", || arrivals(&target).iter().any(|(mark, _)| *mark == 0x100));
    client.admin.ask(Sqe::abort(1, cid), Vec::new(), 0);
    assert_eq!(client.io.answer(), (cid, status::ABORTED_BY_REQUEST));
    assert_eq!(client.admin.answer().1, status::SUCCESS);
    target.later.send((0x100, 0)).unwrap();
    settled(&mut client);
    assert!(client.io.is_silent());
    let counts = gateway.counts();
    assert_eq!((&counts["lapsed"], &counts["late_answers"]), (&1.into(), &1.into()));
}

/// A node that does not read: commands stand in the kernels' buffers and in the gateway's own when the drain is
/// told. Nothing leaves after the grace, and every transaction gets its answer.
#[test]
fn a_drain_told_while_commands_wait_in_the_send_buffer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, told) = std::sync::mpsc::channel::<TcpStream>();
    std::thread::spawn(move || {
        // Handshakes only, then deaf.
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut machine = quaypath_nvme::controller::Controller::default();
            let (mut buffer, mut events) = ([0; 2048], Vec::new());
            let mut admin = quaypath_nvme::admin::Admin::new(0.0, 1, 0);
            // The admin queue until it has agreed on one I/O queue, that one until it is connected.
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
            tell.send(stream).unwrap();
        }
    });
    let shape = Shape { outer: 10.0, grace: 0.5, half_pdu: 30.0, ..Shape::default() };
    let gateway = Gateway::start(&shape);
    gateway.list(address, 0, Ready);
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(gateway.address)).collect();
    // Writes in the capsule, 8 KiB each: far more than the core lets out at one node, none ever answered.
    for (at, client) in clients.iter_mut().enumerate() {
        for nth in 0..100u64 {
            client.ask(BUY, 1 + (nth % 8) as u32, 0x10000 * (at as u64 + 1) + 0x100 * nth, 16);
        }
    }
    let _admin = told.recv_timeout(PATIENCE).unwrap();
    let mut io = told.recv_timeout(PATIENCE).unwrap();
    // Bytes have left: from here on the drain finds commands on their way.
    io.set_read_timeout(Some(PATIENCE)).unwrap();
    io.peek(&mut [0]).unwrap();
    gateway.list(address, 0, Draining);
    let drained = Instant::now();
    let mut answers = 0;
    for client in &mut clients {
        for _ in 0..100 {
            let answer = client.io.answer().1;
            assert!([SCRAPPED, DECLINED].contains(&answer), "{answer:x}");
            answers += 1;
        }
    }
    assert_eq!(answers, 2000);
    std::thread::sleep((Duration::from_millis(700)).saturating_sub(drained.elapsed()));
    // What had arrived before is readable; whatever the gateway still held never comes.
    let mut bytes = Vec::new();
    io.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let _ = io.read_to_end(&mut bytes);
    let mut decoder = Decoder::default();
    decoder.feed(&bytes);
    let mut whole = 0;
    while let Ok(Some(_)) = decoder.next_pdu() {
        whole += 1;
    }
    let counts = gateway.counts();
    let shots = counts["shots"].as_u64().unwrap();
    assert!(whole <= shots, "{whole} commands read, {shots} shots");
    assert!(counts["drain_resets"].as_u64().unwrap() >= 1 || whole == shots, "{whole} read of {counts}");
    assert_eq!(counts["taken"], 2000);
}

/// Two seconds without a turn, with answers, time-outs, new commands and a departure all waiting at its end.
#[test]
fn two_seconds_without_a_turn_and_everything_at_once() {
    let target = peer(|_, marks| if marks.mark < 0x1000 { Do::Hold } else { Do::Answer(0) });
    let (gateway, mut client) = one(&Shape { outer: 3.0, ..Shape::default() }, target.address);
    settled(&mut client);
    let mut leaver = Client::connect(gateway.address);
    let held: Vec<u64> = (1..=5).map(|at| at * 0x100).collect();
    for mark in &held {
        client.ask(BUY, 1, *mark, 8);
    }
    leaver.ask(BUY, 2, 0x600, 8);
    let mut seen = Vec::new();
    until("a first shot is at the node", || {
        seen.extend(arrivals(&target));
        seen.iter().any(|(mark, _)| *mark < 0x1000)
    });
    gateway.signal(Signal::STOP);
    held.iter().for_each(|mark| target.later.send((*mark, 0)).unwrap());
    for at in 0..20 {
        client.ask(BUY, 3, 0x1000 + 0x100 * at, 8);
    }
    drop(leaver);
    std::thread::sleep(Duration::from_secs(2));
    gateway.signal(Signal::CONT);
    let answers: Vec<(u16, u16)> = (0..25).map(|_| client.io.answer()).collect();
    let mut cids: Vec<u16> = answers.iter().map(|(cid, _)| *cid).collect();
    cids.sort_unstable();
    cids.dedup();
    assert_eq!(cids.len(), 25, "one answer each");
    assert!(client.io.is_silent());
    seen.extend(arrivals(&target));
    let mut marks: Vec<u64> = seen.iter().map(|(mark, _)| *mark).filter(|mark| *mark != 0xff00).collect();
    let all = marks.len();
    marks.sort_unstable();
    marks.dedup();
    assert_eq!(marks.len(), all, "no purchase was sent twice");
    assert!(gateway.counts()["stalls"].as_u64().unwrap() >= 1);
}

/// 500 nodes refuse their connections in one moment; every transaction is declined, and the one good node serves.
#[test]
fn five_hundred_connections_refused_at_once() {
    let target = peer(|_, _| Do::Answer(0));
    // 7 is prime to 501, so volumes lie on nodes of their own.
    let shape = Shape { nodes: 501, volumes: 501, ..Shape::default() };
    let gateway = Gateway::start(&shape);
    let closed = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let good = block_of(1, 501);
    for block in 0..501 {
        // Distinct names for closed ports: one loopback address each.
        let [high, low] = (block as u16 + 256).to_be_bytes();
        let address = std::net::SocketAddr::from(([127, 2, high, low], closed.port()));
        gateway.list(if block == good { target.address } else { address }, block, Ready);
    }
    let mut clients: Vec<Client> = (0..5).map(|_| Client::connect(gateway.address)).collect();
    settled(&mut clients[0]);
    for at in 0..500u32 {
        let client = &mut clients[at as usize / 100];
        client.ask(READ, at + 2, 0x100 * u64::from(at + 1), 8);
    }
    for at in 0..500 {
        assert_eq!(clients[at / 100].io.answer().1, DECLINED);
    }
    settled(&mut clients[0]);
    let counts = gateway.counts();
    assert!(counts["connects_failed"].as_u64().unwrap() >= 500, "{counts}");
    assert!(counts["declined"].as_u64().unwrap() >= 500 && counts["open"] == 0, "{counts}");
}

/// 500 clients at a gateway that takes eight connections: the rest are closed at once, and the first are served.
#[test]
fn more_clients_than_allowed_are_closed_and_the_others_served() {
    let target = peer(|_, _| Do::Answer(0));
    let (gateway, mut client) = one(&Shape { connections: 8, ..Shape::default() }, target.address);
    let crowd: Vec<TcpStream> = (0..500).map(|_| TcpStream::connect(gateway.address).unwrap()).collect();
    let closed = crowd.iter().filter(|stream| {
        stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
        let mut stream: &TcpStream = stream;
        matches!(stream.read(&mut [0; 8]), Ok(0))
    });
    assert!(closed.take(494).count() == 494);
    settled(&mut client);
}

#[test_case(&[0, 0, 128]; "half a header")]
#[test_case(&[0, 0, 128, 0, 128, 0, 0, 0, 0, 0]; "half a PDU")]
fn a_client_that_sends_half_a_pdu_and_stays_is_closed(bytes: &[u8]) {
    let target = peer(|_, _| Do::Answer(0));
    let (gateway, mut client) = one(&Shape { half_pdu: 0.5, ..Shape::default() }, target.address);
    settled(&mut client);
    let mut stuck = TcpStream::connect(gateway.address).unwrap();
    stuck.write_all(bytes).unwrap();
    stuck.set_read_timeout(Some(PATIENCE)).unwrap();
    assert_eq!(stuck.read(&mut [0; 64]).unwrap(), 0);
    settled(&mut client);
}

/// Half a completion and silence: the shot is lost, the connection given up, the purchase not repeated.
#[test]
fn a_target_that_sends_half_a_pdu_and_stays_is_given_up() {
    let mut half = Vec::new();
    Pdu::Response(Cqe::default()).encode(&mut half);
    half.truncate(10);
    let target =
        peer(move |_, marks| if marks.mark == 0x100 { Do::Raw(half.clone()) } else { Do::Answer(0) });
    let (gateway, mut client) = one(&Shape { half_pdu: 0.3, outer: 5.0, ..Shape::default() }, target.address);
    settled(&mut client);
    arrivals(&target);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(client.io.answer().1, SCRAPPED);
    assert_eq!(arrivals(&target), [(0x100, 0)]);
    settled(&mut client);
    drop(gateway);
}

#[test]
fn garbage_from_a_client_is_told_and_closed() {
    let target = peer(|_, _| Do::Answer(0));
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    let mut garbage = TcpStream::connect(gateway.address).unwrap();
    garbage.write_all(&[0x5a; 4096]).unwrap();
    garbage.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut bytes = Vec::new();
    let _ = garbage.read_to_end(&mut bytes);
    let mut decoder = Decoder::default();
    decoder.feed(&bytes);
    assert!(matches!(decoder.next_pdu(), Ok(Some(Pdu::C2hTerm { .. }))), "{bytes:?}");
    settled(&mut client);
}

#[test]
fn garbage_from_a_target_loses_the_shot_and_nothing_else() {
    let target = peer(|_, marks| if marks.mark == 0x100 { Do::Raw(vec![0x5a; 300]) } else { Do::Answer(0) });
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    arrivals(&target);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(client.io.answer().1, SCRAPPED);
    assert_eq!(arrivals(&target), [(0x100, 0)]);
    settled(&mut client);
    drop(gateway);
}

/// Turned away unseen: even a purchase may be sent again.
#[test]
fn full_answers_are_no_effect_and_are_tried_again() {
    let target =
        peer(
            |_, marks| {
                if marks.mark == 0x100 && marks.shot == 0 {
                    Do::Answer(status::FULL)
                } else {
                    Do::Answer(0)
                }
            },
        );
    let (gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    arrivals(&target);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(client.io.answer().1, status::SUCCESS);
    assert_eq!(arrivals(&target), [(0x100, 0), (0x100, 1)]);
    drop(gateway);
}

/// Killed and started again with nothing but its list, no register to be found: it serves by the list.
#[test]
fn a_restarted_gateway_serves_by_its_last_list() {
    let target = peer(|_, _| Do::Answer(0));
    let (mut gateway, mut client) = one(&Shape::default(), target.address);
    settled(&mut client);
    drop(client);
    gateway.restart_alone(target.address);
    let mut client = Client::connect(gateway.address);
    client.ask(BUY, 1, 0x100, 8);
    assert_eq!(client.io.answer().1, status::SUCCESS);
}

/// More open transactions than allowed: the rest is turned away before the core, with a time to come back.
#[test]
fn transactions_over_the_bound_are_turned_away() {
    let target = peer(|_, marks| if marks.mark < 0x1000 { Do::Hold } else { Do::Answer(0) });
    let (gateway, mut client) = one(&Shape { open: 10, outer: 5.0, ..Shape::default() }, target.address);
    settled(&mut client);
    for at in 1..=15u64 {
        client.ask(READ, 1, at * 0x100, 8);
    }
    (0..5).for_each(|_| assert_eq!(client.io.answer().1, DECLINED));
    let counts = gateway.counts();
    assert_eq!(counts["turned_away"], 5, "{counts}");
}

/// A client that asks and asks and does not read: it is turned away, then closed; others are served meanwhile.
#[test]
fn a_client_that_does_not_read_is_closed_and_the_others_served() {
    let target = peer(|_, _| Do::Answer(0));
    let (gateway, mut client) = one(&Shape { half_pdu: 0.5, ..Shape::default() }, target.address);
    settled(&mut client);
    let mut greedy = Client::connect(gateway.address);
    let mut asked = 0u64;
    while greedy.io.host.has_room() {
        asked += 1;
        greedy.ask(READ, 1, asked * 0x100, 2048);
    }
    settled(&mut client);
    let greedy = &mut greedy.io.stream;
    until("the greedy client is closed", || {
        // Nothing is read of what it asked for; only whether the gateway is still there.
        settled(&mut client);
        closed(greedy)
    });
    settled(&mut client);
}

/// Whether the peer has closed, whatever waits to be read.
fn closed(stream: &TcpStream) -> bool {
    use rustix::event::{poll, PollFd, PollFlags};
    let mut ask = [PollFd::new(stream, PollFlags::RDHUP)];
    let none = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut ask, Some(&none)).is_ok()
        && ask[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// A connection that is not used is closed, and made again when it is needed.
#[test]
fn an_idle_connection_is_closed_and_made_again() {
    let target = peer(|_, _| Do::Answer(0));
    let (gateway, mut client) = one(&Shape { idle: 0.3, ..Shape::default() }, target.address);
    settled(&mut client);
    std::thread::sleep(Duration::from_millis(1200));
    settled(&mut client);
    let counts = gateway.counts();
    assert!(counts["connects"].as_u64().unwrap() >= 2, "{counts}");
}

/// A busy connection is hardly ever seen between two PDUs; that is no reason to close it.
#[test]
fn a_busy_client_is_not_taken_for_a_stuck_one() {
    let target = peer(|_, _| Do::Answer(0));
    let (gateway, mut client) = one(&Shape { half_pdu: 0.3, ..Shape::default() }, target.address);
    settled(&mut client);
    let start = Instant::now();
    let sqe = Client::sqe(BUY, 1, 0, 16);
    let (mut nth, mut tail) = (0, Vec::new());
    // Every write ends in the middle of a PDU, for four times as long as half a PDU may take.
    while start.elapsed() < Duration::from_millis(1200) {
        nth += 0x100;
        let (_, bytes) = client.io.host.submit(Sqe { mptr: nth, ..sqe }, vec![1; sqe.length()], 0).unwrap();
        let mut out = std::mem::replace(&mut tail, bytes[4000..].to_vec());
        out.extend_from_slice(&bytes[..4000]);
        client.io.stream.write_all(&out).unwrap();
        if nth > 0x100 {
            assert_eq!(client.io.answer().1, status::SUCCESS);
        }
    }
    client.io.stream.write_all(&tail).unwrap();
    assert_eq!(client.io.answer().1, status::SUCCESS);
    drop(gateway);
}
