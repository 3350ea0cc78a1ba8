//! A host against any controller: no panic, and never more than the specification allows in its state.
#![no_main]

use libfuzzer_sys::fuzz_target;
use quaypath_nvme::command::{opcode, Sqe};
use quaypath_nvme::host::{Host, Offer, State};
use quaypath_nvme::pdu::{Decoder, Format, Pdu};

fuzz_target!(|input: &[u8]| {
    let [first, bytes @ ..] = input else { return };
    let offer = Offer { format: Format::of(first & 3, 0), insist: first & 4 != 0, keep_alive_ms: 0 };
    let mut host = Host::start_with(u16::from(first & 8), 8, 1, "s", "h", offer);
    let (mut events, mut sent) = (Vec::new(), std::mem::take(&mut host.out));
    for piece in bytes.chunks(1 + usize::from(first >> 4) * 16) {
        let _ = host.feed(piece, &mut events);
        events.clear();
        // What the machine itself has to say goes before new commands, as the driver has it.
        sent.append(&mut host.out);
        // One command of each kind while there is room; the bytes go out as asked for.
        for (sqe, data, expected) in [
            (Sqe::transfer(opcode::WRITE, 1, 0, 32), vec![1; 16384], 0),
            (Sqe::transfer(opcode::READ, 1, 0, 8), Vec::new(), 4096),
        ] {
            if let Some((cid, command)) = host.submit(sqe, data, expected) {
                if cid % 3 == 0 {
                    host.withdraw(cid);
                } else {
                    sent.extend(command);
                }
            }
        }
        sent.append(&mut host.out);
    }
    // What a host sends: ICReq first, Connect before other commands, a term request last.
    if first & 3 == 0 {
        let mut decoder = Decoder::default();
        decoder.feed(&sent);
        let mut pdus = Vec::new();
        while let Ok(Some(pdu)) = decoder.next_pdu() {
            pdus.push(pdu);
        }
        assert!(matches!(pdus.first(), Some(Pdu::IcReq { .. })));
        let host_kind = |pdu: &Pdu| {
            matches!(pdu, Pdu::IcReq { .. } | Pdu::Command { .. } | Pdu::H2cData(_) | Pdu::H2cTerm { .. })
        };
        assert!(pdus.iter().all(host_kind));
        assert!(pdus.iter().skip(1).all(|pdu| !matches!(pdu, Pdu::IcReq { .. })));
        if let Some(Pdu::Command { sqe, .. }) = pdus.iter().find(|pdu| matches!(pdu, Pdu::Command { .. })) {
            assert_eq!(sqe.opcode, opcode::FABRICS);
        }
        let term = pdus.iter().position(|pdu| matches!(pdu, Pdu::H2cTerm { .. }));
        assert!(term.is_none_or(|at| at + 1 == pdus.len() && host.state() == State::Closed));
    }
    assert!(host.live() <= 7 && host.pending() <= input.len());
});
