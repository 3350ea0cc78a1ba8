//! Any bytes, in two pieces: no panic, and never more held than was fed.
#![no_main]

use libfuzzer_sys::fuzz_target;
use quaypath_http::RequestDecoder;

fuzz_target!(|input: (Vec<u8>, Vec<u8>)| {
    let mut decoder = RequestDecoder::default();
    for piece in [&input.0, &input.1] {
        decoder.feed(piece);
        loop {
            match decoder.poll() {
                Ok(Some(request)) => assert!(request.body.len() <= quaypath_http::MAX_BODY_BYTES),
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
    assert!(decoder.buffered() <= input.0.len() + input.1.len());
});
