//! Any bytes, in any format agreed on: no panic, the same PDUs whatever the split, decode of encode the same.
#![no_main]

use libfuzzer_sys::fuzz_target;
use quaypath_nvme::pdu::{Decoder, Format, Pdu};

fn all(bytes: &[u8], step: usize, format: Format) -> (Vec<Pdu>, bool) {
    let (mut decoder, mut pdus) = (Decoder::default(), Vec::new());
    decoder.agree(format);
    for piece in bytes.chunks(step.max(1)) {
        decoder.feed(piece);
        loop {
            match decoder.next_pdu() {
                Ok(Some(pdu)) => pdus.push(pdu),
                Ok(None) => break,
                Err(_) => return (pdus, false),
            }
        }
    }
    (pdus, true)
}

fuzz_target!(|input: &[u8]| {
    let [first, step, bytes @ ..] = input else { return };
    let format = Format::of(first & 3, 0);
    let whole = all(bytes, usize::MAX, format);
    assert_eq!(whole, all(bytes, usize::from(*step), format));
    let mut again = Vec::new();
    whole.0.iter().for_each(|pdu| pdu.encode_in(format, &mut again));
    assert_eq!(all(&again, usize::MAX, format), (whole.0, true));
});
