//! The admin queue end to end without sockets: enable, identify, logs, events, keep alive, associations; digests
//! and alignment on the way.

use quaypath_nvme::admin::*;
use quaypath_nvme::association::Associations;
use quaypath_nvme::command::{opcode, Cqe, Sqe, ANY_CONTROLLER};
use quaypath_nvme::controller::{Controller, Event as Asked};
use quaypath_nvme::enable::{Enable, Step};
use quaypath_nvme::host::{Event, Host, Offer, State as HostState};
use quaypath_nvme::pdu::{fatal, Decoder, Format, Pdu};
use quaypath_nvme::{status, QUEUE_SIZE};
use test_case::test_case;

struct Shelf {
    kind: Kind,
    records: Vec<Record>,
    changes: u64,
}

impl View for Shelf {
    fn kind(&self) -> Kind {
        self.kind
    }
    fn subsystem(&self) -> &str {
        "nqn.test:shelf"
    }
    fn namespaces(&self, after: u32) -> Vec<(u32, u64)> {
        [(1, 1000), (2, 2000), (9, 3000)].into_iter().filter(|(id, _)| *id > after).collect()
    }
    fn blocks(&self, nsid: u32) -> Option<u64> {
        self.namespaces(0).into_iter().find(|(id, _)| *id == nsid).map(|(_, blocks)| blocks)
    }
    fn groups(&self) -> Vec<(u32, u8, Vec<u32>)> {
        vec![(1, ana::OPTIMIZED, vec![1, 2]), (2, ana::INACCESSIBLE, vec![9])]
    }
    fn changes(&self) -> u64 {
        self.changes
    }
    fn discovery(&self) -> Vec<Record> {
        self.records.clone()
    }
    fn retry_delays(&self) -> [f64; 3] {
        [0.5, 0.0, 0.0]
    }
}

fn shelf(kind: Kind) -> Shelf {
    let record = |port| Record {
        port,
        address: "127.0.0.1".into(),
        service: format!("{}", 4000 + port),
        subsystem: "nqn.test:node".into(),
        zone: "hall-a".into(),
        block: i64::from(port),
        start: 7,
        age: (port == 1).then_some(2.5),
    };
    Shelf { kind, records: vec![record(0), record(1), record(2)], changes: 3 }
}

/// A host and a controller joined by hand, one queue each; commands of the admin queue are answered by the shelf.
struct Pair {
    host: Host,
    controller: Controller,
    associations: Associations,
    shelf: Shelf,
    now: f64,
    events: Vec<Event>,
}

impl Pair {
    fn new(kind: Kind, offer: Offer, takes: Format) -> Pair {
        let host = Host::start_with(0, QUEUE_SIZE, ANY_CONTROLLER, "nqn.test:shelf", "nqn.test:host", offer);
        let (controller, associations) = (Controller::taking(takes), Associations::new(4));
        Pair { host, controller, associations, shelf: shelf(kind), now: 10.0, events: Vec::new() }
    }

    fn exchange(&mut self) {
        loop {
            let (up, down) = (std::mem::take(&mut self.host.out), std::mem::take(&mut self.controller.out));
            if up.is_empty() && down.is_empty() {
                return;
            }
            let mut asked = Vec::new();
            up.chunks(100).for_each(|bytes| self.controller.feed(bytes, &mut asked).unwrap());
            down.chunks(100).for_each(|bytes| self.host.feed(bytes, &mut self.events).unwrap());
            for event in asked {
                match event {
                    Asked::Connect { queue, controller, host, keep_alive_ms, .. } => {
                        let id =
                            self.associations.connect(self.now, 1, queue, controller, &host, keep_alive_ms);
                        self.controller.accept(id.unwrap());
                    }
                    Asked::Command { sqe, .. } => {
                        match self.associations.command(self.now, 1, &sqe, &self.shelf).unwrap() {
                            Do::Respond(cqe, data) => self.controller.respond(cqe, &data),
                            Do::Disconnect(cqe) => self.controller.respond(cqe, &[]),
                            Do::Hold => {}
                            Do::Abort { cid, command, .. } => {
                                let cqe = Cqe {
                                    cid: command,
                                    status: status::ABORTED_BY_REQUEST,
                                    ..Cqe::default()
                                };
                                self.controller.respond(cqe, &[]);
                                self.controller.respond(Cqe { cid, ..Cqe::default() }, &[]);
                            }
                        }
                        while let Some(cqe) = self.associations.due(1) {
                            self.controller.respond(cqe, &[]);
                        }
                    }
                    Asked::Terminated { .. } => {}
                }
            }
        }
    }

    fn enabled(kind: Kind) -> Pair {
        let mut pair = Pair::new(kind, Offer { keep_alive_ms: 1000, ..Offer::default() }, Format::default());
        let mut enable = Enable::new(if kind == Kind::Io { 3 } else { 0 }, true);
        loop {
            pair.exchange();
            let Some(event) = (!pair.events.is_empty()).then(|| pair.events.remove(0)) else { break };
            enable.take(&mut pair.host, event).unwrap();
        }
        assert_eq!(enable.step(), Step::Done);
        assert_eq!(enable.queues, if kind == Kind::Io { 3 } else { 0 });
        let identity = enable.identity.unwrap();
        assert_eq!((identity.kind, identity.subsystem.as_str()), (kind as u8, "nqn.test:shelf"));
        assert_eq!((identity.retry_delays[0], identity.in_capsule), (0.5, 8192));
        pair
    }

    fn ask(&mut self, sqe: Sqe) -> (Cqe, Vec<u8>) {
        let (cid, bytes) = self.host.submit(sqe, Vec::new(), brings(&sqe)).unwrap();
        self.host.out.extend(bytes);
        self.exchange();
        let at = self
            .events
            .iter()
            .position(|event| matches!(event, Event::Done { cid: done, .. } if *done == cid));
        match at.map(|at| self.events.remove(at)) {
            Some(Event::Done { cqe, data, .. }) => (cqe, data),
            _ => panic!("no answer to {sqe:?}"),
        }
    }

    /// The event that completed a held request.
    fn told(&mut self) -> Option<Notice> {
        self.exchange();
        match self.events.pop() {
            Some(Event::Done { cqe, .. }) => Notice::of(cqe.dw0),
            _ => None,
        }
    }
}

#[test]
fn a_host_enables_identifies_and_finds_its_namespaces() {
    let mut pair = Pair::enabled(Kind::Io);
    let (_, list) = pair.ask(identify(2, 0));
    assert_eq!(namespace_list(&list), [1, 2, 9]);
    assert_eq!(namespace_list(&pair.ask(identify(2, 1)).1), [2, 9]);
    assert_eq!(namespace_size(&pair.ask(identify(0, 9)).1), Some((3000, 512)));
    let (_, descriptor) = pair.ask(identify(3, 2));
    assert_eq!(descriptor[..2], [3, 16]);
    let (_, access) = pair.ask(get_log(log::ANA, 0, 4096, false));
    assert_eq!(access_groups(&access), Some((3, pair.shelf.groups())));
    let (cqe, _) = pair.ask(property_get(property::VS));
    assert_eq!(cqe.dw0, 0x0002_0000);
}

#[test_case(identify(0, 5), status::INVALID_NAMESPACE; "identify of a namespace that is not there")]
#[test_case(identify(0x55, 1), status::INVALID_FIELD; "a data structure of another command set")]
#[test_case(get_log(0x02, 0, 512, false), status::INVALID_LOG; "a log page that is left out")]
#[test_case(get_log(log::DISCOVERY, 0, 512, false), status::INVALID_LOG; "a discovery log of an I/O controller")]
#[test_case(get_log(log::ANA, 1 << 40, 512, false), status::INVALID_FIELD; "an offset past the log")]
#[test_case(set_feature(0x02, 1), status::INVALID_FIELD; "a feature that is left out")]
#[test_case(set_feature(feature::QUEUES, 0xffff), status::INVALID_FIELD; "more queues than can be asked for")]
#[test_case(set_feature(feature::KEEP_ALIVE, u32::MAX), status::KEEP_ALIVE_INVALID; "a keep alive of weeks")]
#[test_case(plain(0x84), status::INVALID_OPCODE; "an opcode that is left out")]
#[test_case(property_get(0x40), status::INVALID_FIELD; "a property that is left out")]
#[test_case(property_set(property::CSTS, 1), status::INVALID_FIELD; "a property that cannot be set")]
fn what_is_left_out_is_refused_with_the_right_status(sqe: Sqe, expected: u16) {
    assert_eq!(Pair::enabled(Kind::Io).ask(sqe).0.status, expected | status::DNR);
}

#[test]
fn a_controller_that_is_not_enabled_or_is_shut_down_takes_only_fabrics_commands() {
    let mut pair = Pair::new(Kind::Io, Offer::default(), Format::default());
    pair.exchange();
    pair.events.clear();
    assert_eq!(pair.ask(identify(1, 0)).0.status, status::COMMAND_SEQUENCE | status::DNR);
    assert_eq!(
        pair.associations.connect(10.0, 2, 1, 1, "nqn.test:host", 0),
        Err(status::COMMAND_SEQUENCE | status::DNR)
    );
    pair.ask(property_set(property::CC, CC_ON));
    assert_eq!(pair.ask(property_get(property::CSTS)).0.dw0, CSTS_READY);
    pair.ask(property_set(property::CC, CC_SHUT_DOWN));
    assert_eq!(pair.ask(property_get(property::CSTS)).0.dw0 & CSTS_SHUT_DOWN, CSTS_SHUT_DOWN);
    assert_eq!(pair.ask(identify(1, 0)).0.status, status::COMMAND_SEQUENCE | status::DNR);
}

/// Events come once, are masked until their log page is read, and are not lost while no request is held.
#[test]
fn an_event_is_told_once_until_its_log_page_is_read() {
    let mut pair = Pair::enabled(Kind::Discovery);
    for (_, cqe) in pair.associations.notice(Notice::Discovery) {
        pair.controller.respond(cqe, &[]);
    }
    assert_eq!(pair.told(), Some(Notice::Discovery));
    assert!(pair.associations.notice(Notice::Discovery).is_empty());
    let (cid, bytes) = pair.host.submit(plain(opcode::ASYNC_EVENT), Vec::new(), 0).unwrap();
    pair.host.out.extend(bytes);
    assert_eq!(pair.told(), None, "{cid} is held: the log was not read");
    pair.ask(get_log(log::DISCOVERY, 0, 1024, false));
    assert_eq!(pair.told(), Some(Notice::Discovery), "the second change waited");
}

#[test]
fn event_requests_have_a_bound_and_can_be_aborted() {
    let mut pair = Pair::enabled(Kind::Io);
    let held: Vec<u16> = (1..MOST_EVENTS)
        .map(|_| {
            let (cid, bytes) = pair.host.submit(plain(opcode::ASYNC_EVENT), Vec::new(), 0).unwrap();
            pair.host.out.extend(bytes);
            cid
        })
        .collect();
    assert_eq!(pair.ask(plain(opcode::ASYNC_EVENT)).0.status, status::EVENT_LIMIT | status::DNR);
    assert_eq!(pair.ask(Sqe::abort(0, held[0])).0.dw0, 0);
    assert!(pair
        .events
        .iter()
        .any(|event| matches!(event, Event::Done { cqe, .. } if cqe.status == status::ABORTED_BY_REQUEST)));
    assert_eq!(pair.ask(Sqe::abort(0, 99)).0.dw0, 1);
}

/// A log that changes between two reads tells so by its generation.
#[test]
fn a_discovery_log_is_read_in_pieces() {
    let mut pair = Pair::enabled(Kind::Discovery);
    let (_, head) = pair.ask(get_log(log::DISCOVERY, 0, 1024, true));
    assert_eq!(discovery_header(&head), Some((3, 3)));
    let (_, piece) = pair.ask(get_log(log::DISCOVERY, 2048, 1024, true));
    let mut whole = discovery_log(3, &pair.shelf.records);
    assert_eq!(piece, whole[2048..3072]);
    assert_eq!(discovery_record(&whole, 1), Some(pair.shelf.records[1].clone()));
    assert_eq!(discovery_record(&whole, 3), None);
    whole.truncate(2500);
    assert_eq!(discovery_record(&whole, 1), None);
    pair.shelf.changes = 4;
    assert_eq!(discovery_header(&pair.ask(get_log(log::DISCOVERY, 0, 1024, false)).1), Some((4, 3)));
}

#[test]
fn an_association_is_lost_when_nothing_is_heard_and_only_then() {
    let mut pair = Pair::enabled(Kind::Io);
    pair.now = 10.9;
    assert!(pair.associations.lost(pair.now).is_empty());
    assert_eq!(pair.ask(plain(opcode::KEEP_ALIVE)).0.status, 0);
    assert!(pair.associations.lost(11.85).is_empty());
    pair.associations.heard(11.85, 1);
    assert!(pair.associations.lost(12.8).is_empty());
    assert_eq!(pair.associations.lost(12.9), [1]);
    assert!(pair.associations.ended(1).is_empty());
    assert!(pair.associations.is_empty());
}

#[test]
fn queues_belong_to_the_host_that_made_the_association_and_end_with_it() {
    let mut pair = Pair::enabled(Kind::Io);
    let mut connect =
        |connection, queue, host: &str| pair.associations.connect(10.0, connection, queue, 1, host, 0);
    assert_eq!(connect(2, 1, "nqn.test:other"), Err(status::CONNECT_INVALID_HOST | status::DNR));
    assert_eq!(connect(2, 1, "nqn.test:host"), Ok(1));
    assert_eq!(connect(3, 1, "nqn.test:host"), Err(status::CONNECT_INVALID | status::DNR));
    assert_eq!(connect(3, 3, "nqn.test:host"), Ok(1));
    assert_eq!(
        connect(4, 4, "nqn.test:host"),
        Err(status::CONNECT_INVALID | status::DNR),
        "three were agreed on"
    );
    assert_eq!(pair.associations.ended(3), [1, 2]);
    assert!(pair.associations.of(1).is_none());
}

fn digests(header: bool, data: bool, align: u8) -> Format {
    Format { header_digest: header, data_digest: data, align }
}

#[test_case(digests(true, true, 0), digests(true, true, 0); "both digests")]
#[test_case(digests(true, false, 3), digests(true, true, 0); "header digest and data aligned for the host")]
#[test_case(digests(false, true, 0), digests(true, true, 31); "data digest and data aligned for the controller")]
#[test_case(digests(true, true, 0), digests(false, false, 0); "offered and not taken")]
fn digests_and_alignment_are_what_both_agree_on(offers: Format, takes: Format) {
    let offer = Offer { format: offers, ..Offer::default() };
    let mut pair = Pair::new(Kind::Io, offer, takes);
    pair.exchange();
    pair.events.clear();
    pair.ask(property_set(property::CC, CC_ON));
    assert_eq!(namespace_list(&pair.ask(identify(2, 0)).1), [1, 2, 9]);
}

/// A host that insists on digests and a controller that takes none.
#[test]
fn digests_on_at_one_end_only() {
    let offer = Offer { format: digests(true, true, 0), insist: true, keep_alive_ms: 0 };
    let mut host = Host::start_with(0, 8, ANY_CONTROLLER, "s", "h", offer);
    let mut controller = Controller::taking(Format::default());
    controller.feed(&std::mem::take(&mut host.out), &mut Vec::new()).unwrap();
    let error = host.feed(&controller.out, &mut Vec::new()).unwrap_err();
    assert_eq!((error.status, host.state()), (fatal::UNSUPPORTED, HostState::Closed));
}

/// One bit turned on the way: in a header it ends the connection, in data it fails the command and nothing else.
#[test]
fn a_bad_digest_ends_the_connection_or_the_command() {
    let offer = Offer { format: digests(true, true, 0), ..Offer::default() };
    let mut pair = Pair::new(Kind::Io, offer, digests(true, true, 0));
    pair.exchange();
    pair.events.clear();
    pair.ask(property_set(property::CC, CC_ON));
    let sqe = Sqe::transfer(opcode::WRITE, 1, 0, 2);
    let (cid, mut bytes) = pair.host.submit(sqe, vec![5; 1024], 0).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    pair.host.out.extend(&bytes);
    pair.exchange();
    assert!(matches!(&pair.events[..], [Event::Done { cid: done, cqe, .. }]
        if *done == cid && cqe.status == status::TRANSPORT_ERROR));
    pair.events.clear();
    // Read data spoilt on the way back.
    let (cid, bytes) = pair.host.submit(identify(1, 0), Vec::new(), 4096).unwrap();
    let mut asked = Vec::new();
    pair.controller.feed(&bytes, &mut asked).unwrap();
    pair.controller.respond(Cqe { cid, ..Cqe::default() }, &[9; 4096]);
    pair.controller.out[2000] ^= 1;
    let mut events = Vec::new();
    pair.host.feed(&std::mem::take(&mut pair.controller.out), &mut events).unwrap();
    assert!(matches!(&events[..], [Event::Done { cqe, data, .. }]
        if cqe.status == status::TRANSPORT_ERROR && data.is_empty()));
    // A header.
    let (_, mut bytes) = pair.host.submit(identify(1, 0), Vec::new(), 4096).unwrap();
    bytes[10] ^= 1;
    let error = pair.controller.feed(&bytes, &mut Vec::new()).unwrap_err();
    assert_eq!(error.status, fatal::HEADER_DIGEST);
    let mut decoder = Decoder::default();
    decoder.feed(&pair.controller.out);
    assert!(matches!(decoder.next_pdu(), Ok(Some(Pdu::C2hTerm { status: fatal::HEADER_DIGEST, .. }))));
}

/// The success flag stands for a completion without any field set.
#[test]
fn a_read_may_end_without_a_response() {
    let mut pair = Pair::enabled(Kind::Io);
    pair.controller.short_reads = true;
    let (cqe, list) = pair.ask(identify(2, 0));
    assert_eq!((cqe.status, namespace_list(&list)), (0, vec![1, 2, 9]));
}
