//! Both connection machines against any peer: sequences of PDUs in any order, whole, cut and spoilt. What the fuzz
//! targets look for without end, bounded.

use proptest::prelude::*;
use quaypath_nvme::command::{connect_data, opcode, Cqe, Sqe, ANY_CONTROLLER, CONNECT_LEN};
use quaypath_nvme::controller::{Controller, Event as Asked};
use quaypath_nvme::host::{Event, Host, State};
use quaypath_nvme::pdu::{DataPart, Decoder, Pdu};

fn part(cid: u16, length: usize, last: bool, success: bool) -> DataPart {
    DataPart { cid, ttag: cid, offset: 0, last, success, data: vec![1; length] }
}

/// What peers of either kind send, rightly or wrongly.
fn any_pdu() -> impl Strategy<Value = Pdu> {
    let cid = 0..9u16;
    prop_oneof![
        4 => Just(Pdu::IcReq { pfv: 0, hpda: 0, digest: 0, max_r2t: 0 }),
        4 => Just(Pdu::IcResp { pfv: 0, cpda: 0, digest: 0, max_h2c: 8192 }),
        4 => Just(Pdu::Command {
            sqe: Sqe::connect(1, 8, 0).with_data(CONNECT_LEN, true),
            data: connect_data([1; 16], ANY_CONTROLLER, "s", "h"),
        }),
        4 => (cid.clone(), 0..3u16).prop_map(|(cid, status)| Pdu::Response(Cqe { cid, status, ..Cqe::default() })),
        3 => (cid.clone(), 1..40u32).prop_map(|(cid, blocks)| {
            let sqe = Sqe::transfer(opcode::WRITE, 1, 0, blocks).with_data(blocks as usize * 512, false);
            Pdu::Command { sqe: Sqe { cid, ..sqe }, data: vec![] }
        }),
        3 => cid.clone().prop_map(|cid| Pdu::Command { sqe: Sqe { cid, ..Sqe::transfer(opcode::READ, 1, 0, 8) }, data: vec![] }),
        2 => (cid.clone(), 1..20_000usize, any::<bool>()).prop_map(|(cid, length, last)| {
            Pdu::H2cData(part(cid, length, last, false))
        }),
        2 => (cid.clone(), 1..9000usize, any::<bool>(), any::<bool>()).prop_map(|(cid, length, last, success)| {
            Pdu::C2hData(part(cid, length, last, success))
        }),
        2 => (cid, 0..20_000u32, 0..20_000u32).prop_map(|(cid, offset, length)| Pdu::R2t { cid, ttag: 1, offset, length }),
        1 => Just(Pdu::C2hTerm { status: 1, info: 0 }),
        1 => Just(Pdu::H2cTerm { status: 1, info: 0 }),
    ]
}

/// Mostly a good start, so that later states are reached; then anything, one byte of it spoilt now and then.
fn stream(start: Vec<Pdu>) -> impl Strategy<Value = Vec<u8>> {
    let spoilt = proptest::option::weighted(0.2, (any::<prop::sample::Index>(), any::<u8>()));
    (0..=2usize, proptest::collection::vec(any_pdu(), 0..12), spoilt).prop_map(move |(good, rest, spoilt)| {
        let mut bytes = Vec::new();
        start.iter().take(good).chain(&rest).for_each(|pdu| pdu.encode(&mut bytes));
        if let (Some((at, value)), false) = (spoilt, bytes.is_empty()) {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        bytes
    })
}

fn pdus(bytes: &[u8]) -> Vec<Pdu> {
    let (mut decoder, mut all) = (Decoder::default(), Vec::new());
    decoder.feed(bytes);
    while let Ok(Some(pdu)) = decoder.next_pdu() {
        all.push(pdu);
    }
    assert_eq!(decoder.pending(), 0, "a machine sends whole PDUs that its own decoder takes");
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..Default::default() })]

    #[test]
    fn a_host_sends_only_what_its_state_allows(
        bytes in stream(vec![
            Pdu::IcResp { pfv: 0, cpda: 0, digest: 0, max_h2c: 8192 },
            Pdu::Response(Cqe::default()),
        ]),
        step in 1..3000usize,
    ) {
        let mut host = Host::start(1, 8, 1, "s", "h");
        let (mut events, mut sent, mut taken) = (Vec::new(), std::mem::take(&mut host.out), Vec::new());
        for piece in bytes.chunks(step) {
            let _ = host.feed(piece, &mut events);
            for event in events.drain(..) {
                if let Event::Done { cid, .. } | Event::Late { cid } = event {
                    let known = taken.iter().position(|one| *one == cid);
                    prop_assert!(known.is_some(), "a completion of a command that was not out");
                    taken.remove(known.unwrap());
                }
            }
            sent.append(&mut host.out);
            for (sqe, data, expected) in [
                (Sqe::transfer(opcode::WRITE, 1, 0, 32), vec![1; 16384], 0),
                (Sqe::transfer(opcode::READ, 1, 0, 8), Vec::new(), 4096),
            ] {
                if let Some((cid, command)) = host.submit(sqe, data, expected) {
                    prop_assert!(!taken.contains(&cid), "a command id that is still out");
                    prop_assert!(host.state() == State::Ready);
                    taken.push(cid);
                    sent.extend(command);
                    if cid == 3 {
                        host.forget(cid);
                    }
                }
            }
            prop_assert!(taken.len() <= 7);
        }
        let all = pdus(&sent);
        let first = matches!(all.first(), Some(Pdu::IcReq { .. }));
        prop_assert!(first);
        let commands = all.iter().filter_map(|pdu| match pdu {
            Pdu::Command { sqe, .. } => Some(sqe.opcode),
            _ => None,
        });
        let commands: Vec<u8> = commands.collect();
        prop_assert!(commands.first().is_none_or(|first| *first == opcode::FABRICS));
        let term = all.iter().position(|pdu| matches!(pdu, Pdu::H2cTerm { .. }));
        prop_assert!(term.is_none_or(|at| at + 1 == all.len()), "nothing follows a term request");
    }

    #[test]
    fn a_controller_sends_only_what_its_state_allows_and_holds_no_more_than_its_bound(
        bytes in stream(vec![
            Pdu::IcReq { pfv: 0, hpda: 0, digest: 0, max_r2t: 0 },
            Pdu::Command {
                sqe: Sqe::connect(1, 8, 0).with_data(CONNECT_LEN, true),
                data: connect_data([1; 16], ANY_CONTROLLER, "s", "h"),
            },
        ]),
        step in 1..3000usize, answers in any::<bool>(),
    ) {
        let mut controller = Controller::taking(Default::default());
        let (mut events, mut sent, mut open) = (Vec::new(), Vec::new(), Vec::new());
        for piece in bytes.chunks(step) {
            let _ = controller.feed(piece, &mut events);
            for event in events.drain(..) {
                match event {
                    Asked::Connect { .. } => controller.accept(1),
                    Asked::Command { sqe, data } => {
                        prop_assert!(!open.contains(&sqe.cid), "a command id twice");
                        prop_assert!(data.len() <= 40 * 512);
                        open.push(sqe.cid);
                    }
                    Asked::Terminated { .. } => {}
                }
            }
            if answers {
                open.drain(..).for_each(|cid| controller.respond(Cqe { cid, ..Cqe::default() }, &[]));
            }
            prop_assert!(controller.open() <= 7);
            sent.append(&mut controller.out);
        }
        let all = pdus(&sent);
        for (at, pdu) in all.iter().enumerate() {
            let fits = match pdu {
                Pdu::IcResp { .. } => at == 0,
                Pdu::Response(_) | Pdu::C2hData(_) | Pdu::R2t { .. } => at > 0,
                Pdu::C2hTerm { .. } => at + 1 == all.len(),
                _ => false,
            };
            prop_assert!(fits, "{pdu:?} at {at}");
        }
    }
}
