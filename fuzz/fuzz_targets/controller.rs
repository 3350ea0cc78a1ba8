//! A controller against any host: no panic, no answer before Connect, no command beyond the queue, bounded memory.
#![no_main]

use libfuzzer_sys::fuzz_target;
use quaypath_nvme::command::Cqe;
use quaypath_nvme::controller::{Controller, Event};
use quaypath_nvme::pdu::{Decoder, Format, Pdu};

fuzz_target!(|input: &[u8]| {
    let [first, bytes @ ..] = input else { return };
    let mut controller = Controller::taking(Format::of(first & 3, 0));
    let (mut events, mut sent, mut open) = (Vec::new(), Vec::new(), Vec::new());
    for piece in bytes.chunks(1 + usize::from(first >> 4) * 16) {
        let _ = controller.feed(piece, &mut events);
        for event in events.drain(..) {
            match event {
                Event::Connect { .. } => controller.accept(1),
                Event::Command { sqe, .. } => open.push(sqe.cid),
                Event::Terminated { .. } => {}
            }
        }
        if first & 8 != 0 {
            open.drain(..).for_each(|cid| controller.respond(Cqe { cid, ..Cqe::default() }, &[0; 512]));
        }
        assert!(controller.open() < 128);
        sent.append(&mut controller.out);
    }
    if first & 3 == 0 {
        let mut decoder = Decoder::default();
        decoder.feed(&sent);
        let mut seen = 0;
        while let Ok(Some(pdu)) = decoder.next_pdu() {
            match pdu {
                Pdu::IcResp { .. } => assert_eq!(seen, 0),
                Pdu::Response(_) | Pdu::C2hData(_) | Pdu::R2t { .. } => assert!(seen > 0),
                Pdu::C2hTerm { .. } => {}
                other => panic!("a controller sent {other:?}"),
            }
            seen += 1;
        }
    }
});
