//! PDUs over any split of bytes, both ends against each other, and peers that break the protocol.

use proptest::prelude::*;
use quaypath_nvme::command::{opcode, Cqe, Marks, Sqe, Told, ANY_CONTROLLER};
use quaypath_nvme::controller::{Controller, Event as Asked};
use quaypath_nvme::host::{Event, Host, State};
use quaypath_nvme::pdu::{fatal, DataPart, Decoder, Pdu};
use quaypath_nvme::{status, MAX_H2C, QUEUE_SIZE};
use test_case::test_case;

fn part() -> impl Strategy<Value = DataPart> {
    let data = proptest::collection::vec(any::<u8>(), 1..300);
    (any::<u16>(), any::<u16>(), any::<u32>(), any::<bool>(), any::<bool>(), data).prop_map(
        |(cid, ttag, offset, last, success, data)| DataPart { cid, ttag, offset, last, success, data },
    )
}

fn sqe() -> impl Strategy<Value = Sqe> {
    let words =
        (any::<u32>(), any::<u32>(), any::<u32>(), any::<u64>(), any::<[u8; 16]>(), any::<[u32; 6]>());
    (any::<u8>(), any::<u8>(), any::<u16>(), words).prop_map(
        |(opcode, flags, cid, (nsid, cdw2, cdw3, mptr, sgl, cdw))| Sqe {
            opcode,
            flags,
            cid,
            nsid,
            cdw2,
            cdw3,
            mptr,
            sgl,
            cdw,
        },
    )
}

fn cqe() -> impl Strategy<Value = Cqe> {
    (any::<u32>(), any::<u32>(), any::<u16>(), any::<u16>(), any::<u16>(), 0..0x8000u16)
        .prop_map(|(dw0, dw1, sq_head, sq_id, cid, status)| Cqe { dw0, dw1, sq_head, sq_id, cid, status })
}

fn pdu() -> impl Strategy<Value = Pdu> {
    prop_oneof![
        (any::<u16>(), any::<u8>(), any::<u8>(), any::<u32>())
            .prop_map(|(pfv, hpda, digest, max_r2t)| Pdu::IcReq { pfv, hpda, digest, max_r2t }),
        (any::<u16>(), any::<u8>(), any::<u8>(), any::<u32>())
            .prop_map(|(pfv, cpda, digest, max_h2c)| Pdu::IcResp { pfv, cpda, digest, max_h2c }),
        (any::<u16>(), any::<u32>()).prop_map(|(status, info)| Pdu::H2cTerm { status, info }),
        (any::<u16>(), any::<u32>()).prop_map(|(status, info)| Pdu::C2hTerm { status, info }),
        (sqe(), proptest::collection::vec(any::<u8>(), 0..300))
            .prop_map(|(sqe, data)| Pdu::Command { sqe, data }),
        cqe().prop_map(Pdu::Response),
        part().prop_map(Pdu::H2cData),
        part().prop_map(Pdu::C2hData),
        (any::<u16>(), any::<u16>(), any::<u32>(), any::<u32>())
            .prop_map(|(cid, ttag, offset, length)| Pdu::R2t { cid, ttag, offset, length }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_the_split_the_same_pdus(
        pdus in proptest::collection::vec(pdu(), 1..8), cuts in proptest::collection::vec(1..97usize, 1..40),
    ) {
        let mut bytes = Vec::new();
        pdus.iter().for_each(|pdu| pdu.encode(&mut bytes));
        let (mut decoder, mut seen, mut at) = (Decoder::default(), Vec::new(), 0);
        for cut in cuts.iter().cycle() {
            let end = (at + cut).min(bytes.len());
            decoder.feed(&bytes[at..end]);
            while let Some(pdu) = decoder.next_pdu().unwrap() {
                seen.push(pdu);
            }
            at = end;
            if at == bytes.len() {
                break;
            }
        }
        prop_assert_eq!(seen, pdus);
        prop_assert_eq!(decoder.pending(), 0);
    }

    #[test]
    fn garbage_never_panics_and_never_piles_up(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let (mut host, mut controller) = (Host::start(1, 4, 1, "s", "h"), Controller::default());
        let (mut events, mut asked) = (Vec::new(), Vec::new());
        let (one, other) = (host.feed(&bytes, &mut events), controller.feed(&bytes, &mut asked));
        prop_assert!(bytes.len() < 8 || (one.is_err() && other.is_err()) || bytes[0] <= 0x09);
    }

    #[test]
    fn marks_and_told_survive_the_wire(
        band in any::<u8>(), units in any::<u8>(), initiators in any::<u16>(), shot in any::<u8>(),
        mark in any::<u64>(), key in any::<u32>(), budget_ms in any::<u32>(), others in any::<u32>(),
        host in 0..1u32 << 24,
    ) {
        let marks = Marks { band, units, initiators, shot, host, mark, key, budget_ms };
        prop_assert_eq!(Marks::of(&marks.put(Sqe::transfer(opcode::READ, 1, 9, 8))), marks);
        let told = Told { latency: 0.0123, used: 87, others };
        let mut cqe = Cqe::default();
        told.put(&mut cqe);
        prop_assert_eq!(Told::of(&cqe), told);
    }
}

/// Both ends, bytes moved by hand.
struct Pair {
    host: Host,
    controller: Controller,
    events: Vec<Event>,
    asked: Vec<Asked>,
}

impl Pair {
    fn connected() -> Self {
        let host = Host::start(1, 8, ANY_CONTROLLER, "nqn.test:node", "nqn.test:host");
        let mut pair = Pair { host, controller: Controller::default(), events: vec![], asked: vec![] };
        pair.exchange();
        let asked = pair.asked.pop();
        assert!(matches!(asked, Some(Asked::Connect { queue: 1, .. })), "{asked:?}");
        pair.controller.accept(7);
        pair.exchange();
        assert!(matches!(pair.events.pop(), Some(Event::Ready { controller: 7 })));
        pair
    }

    fn exchange(&mut self) {
        loop {
            let (up, down) = (std::mem::take(&mut self.host.out), std::mem::take(&mut self.controller.out));
            if up.is_empty() && down.is_empty() {
                return;
            }
            up.chunks(1000).for_each(|bytes| self.controller.feed(bytes, &mut self.asked).unwrap());
            down.chunks(1000).for_each(|bytes| self.host.feed(bytes, &mut self.events).unwrap());
        }
    }

    fn submit(&mut self, sqe: Sqe, data: Vec<u8>, expected: usize) -> u16 {
        let (cid, bytes) = self.host.submit(sqe, data, expected).unwrap();
        self.host.out.extend(bytes);
        cid
    }
}

#[test_case(8; "in the capsule")]
#[test_case(100; "by one R2T")]
#[test_case(1000; "by several R2T")]
fn a_write_arrives_whole(blocks: u32) {
    let mut pair = Pair::connected();
    let sent: Vec<u8> = (0..blocks * 512).map(|at| (at % 251) as u8).collect();
    let cid = pair.submit(Sqe::transfer(opcode::WRITE, 1, 0, blocks), sent.clone(), 0);
    pair.exchange();
    let Some(Asked::Command { sqe, data }) = pair.asked.pop() else { panic!("{:?}", pair.asked) };
    assert_eq!((sqe.cid, data.len()), (cid, sent.len()));
    assert!(data == sent);
    pair.controller.respond(Cqe { cid, ..Cqe::default() }, &[]);
    pair.exchange();
    assert!(matches!(pair.events.pop(), Some(Event::Done { cqe: Cqe { status: 0, .. }, .. })));
    assert_eq!((pair.host.live(), pair.controller.open()), (0, 0));
}

#[test]
fn a_read_brings_its_data_in_pieces() {
    let mut pair = Pair::connected();
    let length = MAX_H2C + 1024;
    let cid = pair.submit(Sqe::transfer(opcode::READ, 1, 0, (length / 512) as u32), vec![], length);
    pair.exchange();
    pair.controller.respond(Cqe { cid, ..Cqe::default() }, &vec![3; length]);
    pair.exchange();
    assert!(matches!(pair.events.pop(), Some(Event::Done { data, .. }) if data == vec![3; length]));
}

/// A time-out's late answer must not be read as the answer of a later command with the same id.
#[test]
fn a_command_id_rests_until_its_late_answer_came() {
    let mut pair = Pair::connected();
    let old = pair.submit(Sqe::transfer(opcode::READ, 1, 0, 1), vec![], 512);
    pair.exchange();
    pair.host.forget(old);
    for _ in 0..20 {
        let cid = pair.submit(Sqe { opcode: opcode::FLUSH, ..Sqe::default() }, vec![], 0);
        assert_ne!(cid, old);
        pair.exchange();
        pair.controller.respond(Cqe { cid, ..Cqe::default() }, &[]);
        pair.exchange();
    }
    pair.events.clear();
    pair.controller.respond(Cqe { cid: old, ..Cqe::default() }, &[7; 512]);
    pair.exchange();
    assert!(matches!(pair.events[..], [Event::Late { cid }] if cid == old));
    assert_eq!((pair.host.forgotten(), pair.host.live()), (0, 0));
}

#[test]
fn a_full_queue_takes_no_more_and_a_withdrawn_command_leaves_no_trace() {
    let mut pair = Pair::connected();
    let cids: Vec<u16> = (0..7).map(|_| pair.submit(Sqe::default(), vec![], 0)).collect();
    assert!(pair.host.submit(Sqe::default(), vec![], 0).is_none());
    pair.host.out.clear();
    cids.into_iter().for_each(|cid| pair.host.withdraw(cid));
    assert_eq!(pair.host.live(), 0);
    pair.exchange();
    assert!(pair.asked.is_empty());
}

fn command(cid: u16) -> Pdu {
    Pdu::Command { sqe: Sqe { cid, opcode: opcode::FLUSH, ..Sqe::default() }, data: vec![] }
}

#[test_case(&[command(1), command(1)], fatal::SEQUENCE; "a command id used twice")]
#[test_case(&(0..8).map(command).collect::<Vec<_>>(), fatal::LIMIT; "more commands than entries")]
#[test_case(&[Pdu::H2cData(DataPart { cid: 3, ttag: 3, offset: 0, last: true, success: false, data: vec![1] })],
    fatal::SEQUENCE; "data that nobody asked for")]
#[test_case(&[Pdu::IcReq { pfv: 0, hpda: 0, digest: 0, max_r2t: 0 }], fatal::SEQUENCE; "ICReq again")]
#[test_case(&[Pdu::Response(Cqe::default())], fatal::SEQUENCE; "a completion from a host")]
fn a_host_that_breaks_the_protocol_is_told_why(pdus: &[Pdu], expected: u16) {
    let mut pair = Pair::connected();
    let mut bytes = Vec::new();
    pdus.iter().for_each(|pdu| pdu.encode(&mut bytes));
    assert_eq!(pair.controller.feed(&bytes, &mut pair.asked).unwrap_err().status, expected);
    let mut decoder = Decoder::default();
    decoder.feed(&pair.controller.out);
    assert!(matches!(decoder.next_pdu(), Ok(Some(Pdu::C2hTerm { status, .. })) if status == expected));
}

#[test_case(&[0x55, 0, 72, 0, 72, 0, 0, 0], "type"; "unknown type")]
#[test_case(&[4, 0, 24, 0, 24, 0, 0, 0], "HLEN"; "wrong header length")]
#[test_case(&[4, 0, 72, 72, 255, 255, 255, 127], "PLEN"; "two gigabytes announced")]
#[test_case(&[4, 1, 72, 0, 72, 0, 0, 0], "digest"; "a digest not agreed")]
#[test_case(&[6, 0, 24, 4, 40, 0, 0, 0], "PDO"; "data inside the header")]
fn a_header_out_of_bounds_is_refused_before_its_body_is_waited_for(header: &[u8], word: &str) {
    let mut decoder = Decoder::default();
    decoder.feed(header);
    assert!(decoder.next_pdu().unwrap_err().what.contains(word));
}

#[test]
fn a_write_whose_length_lies_is_refused_with_a_status() {
    let mut pair = Pair::connected();
    let sqe = Sqe { cid: 2, ..Sqe::transfer(opcode::WRITE, 1, 0, 8).with_data(512, true) };
    let mut bytes = Vec::new();
    Pdu::Command { sqe, data: vec![0; 512] }.encode(&mut bytes);
    pair.controller.feed(&bytes, &mut pair.asked).unwrap();
    let mut decoder = Decoder::default();
    decoder.feed(&pair.controller.out);
    let Ok(Some(Pdu::Response(cqe))) = decoder.next_pdu() else { panic!() };
    assert_eq!(cqe.status, status::INVALID_FIELD | status::DNR);
}

#[test]
fn a_refused_connect_closes_the_queue() {
    let mut pair = Pair {
        host: Host::start(1, QUEUE_SIZE, 9, "s", "h"),
        controller: Controller::default(),
        events: vec![],
        asked: vec![],
    };
    pair.exchange();
    pair.controller.refuse(status::CONNECT_INVALID);
    pair.exchange();
    assert!(matches!(pair.events[..], [Event::Refused { status: status::CONNECT_INVALID }]));
    assert_eq!(pair.host.state(), State::Closed);
    assert!(pair.host.submit(Sqe::default(), vec![], 0).is_none());
}
