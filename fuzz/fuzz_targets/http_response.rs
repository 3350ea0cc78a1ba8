//! Any bytes, in two pieces: no panic, and no body past its bound.
#![no_main]

use libfuzzer_sys::fuzz_target;
use quaypath_http::{ResponseDecoder, ResponsePart};

fuzz_target!(|input: (Vec<u8>, Vec<u8>)| {
    let (mut decoder, mut body) = (ResponseDecoder::new(1000), 0);
    for piece in [&input.0, &input.1] {
        decoder.feed(piece);
        loop {
            match decoder.poll() {
                Ok(Some(ResponsePart::Body(more))) => body += more.len(),
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return,
            }
        }
        assert!(body <= 1000);
    }
});
