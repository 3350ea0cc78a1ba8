//! The request and response decoders: which messages they accept, which they reject with which status, and that neither
//! depends on the pieces in which the bytes arrive.

use proptest::prelude::*;
use quaypath_http::{
    DecodeError, Request, RequestDecoder, ResponseDecoder, ResponsePart, MAX_BODY_BYTES, MAX_HEAD_BYTES,
};
use test_case::test_case;

/// Decodes all requests in `bytes`, which are fed in pieces of these lengths, repeated as often as needed.
fn decode_requests(bytes: &[u8], piece_lengths: &[usize]) -> Result<Vec<Request>, DecodeError> {
    let (mut decoder, mut requests, mut position) = (RequestDecoder::default(), Vec::new(), 0);
    for length in piece_lengths.iter().cycle() {
        let end = (position + length.max(&1)).min(bytes.len());
        decoder.feed(&bytes[position..end]);
        position = end;
        while let Some(request) = decoder.poll()? {
            requests.push(request);
        }
        if position == bytes.len() {
            break;
        }
    }
    Ok(requests)
}

/// Decodes one response. Returns its parts, with the body as one part, and the number of bytes after its end.
fn decode_response(
    bytes: &[u8], piece_lengths: &[usize], max_body: usize,
) -> Result<(Vec<ResponsePart>, usize), DecodeError> {
    let (mut decoder, mut parts, mut position) = (ResponseDecoder::new(max_body), Vec::new(), 0);
    for length in piece_lengths.iter().cycle() {
        let end = (position + length.max(&1)).min(bytes.len());
        decoder.feed(&bytes[position..end]);
        position = end;
        while let Some(part) = decoder.poll()? {
            match (parts.last_mut(), part) {
                (Some(ResponsePart::Body(body)), ResponsePart::Body(more)) => body.extend(more),
                (_, part) => parts.push(part),
            }
        }
        if position == bytes.len() {
            break;
        }
    }
    Ok((parts, decoder.trailing_bytes()))
}

fn put_request(headers: &str, body: &str) -> Vec<u8> {
    format!("PUT /api?x=1 HTTP/1.1\r\nHost: service.internal\r\n{headers}\r\n{body}").into_bytes()
}

#[test_case(put_request("Content-Length: 5\r\n", "hello"), &["hello"]; "content length")]
#[test_case(put_request("Transfer-Encoding: chunked\r\n", "2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: 1\r\n\r\n"), &["hello"]; "chunks with extension and trailer section")]
#[test_case(put_request("", ""), &[""]; "no body")]
#[test_case([put_request("Content-Length: 1\r\n", "a"), b"\r\n".to_vec(), put_request("Content-Length: 1\r\n", "b")].concat(), &["a", "b"]; "pipelined requests with a blank line between them")]
#[test_case([b"\n".repeat(MAX_HEAD_BYTES), put_request("", ""), b"\n".repeat(MAX_HEAD_BYTES), put_request("", "")].concat(), &["", ""]; "the largest number of blank lines before each request")]
fn valid_requests_are_decoded(bytes: Vec<u8>, expected_bodies: &[&str]) {
    let requests = decode_requests(&bytes, &[bytes.len()]).expect("valid requests");
    let bodies: Vec<_> =
        requests.iter().map(|request| String::from_utf8_lossy(&request.body).into_owned()).collect();
    assert_eq!(bodies, expected_bodies);
    assert!(requests
        .iter()
        .all(|request| request.target == "/api?x=1" && request.method == "PUT" && !request.close));
}

// Guards against request smuggling through ambiguous framing, and against heads and bodies without an end.
#[test_case(put_request("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400; "both framings")]
#[test_case(put_request("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"), 400; "two lengths")]
#[test_case(put_request("Content-Length: -5\r\n", ""), 400; "negative length")]
#[test_case(put_request("Content-Length: +5\r\n", "hello"), 400; "length with a sign")]
#[test_case(put_request("Content-Length: 5, 5\r\n", "hello"), 400; "a list of lengths")]
#[test_case(put_request("Content-Length: 99999999999999999999999\r\n", ""), 413; "length that does not fit an integer")]
#[test_case(put_request(&format!("Content-Length: {}\r\n", MAX_BODY_BYTES + 1), ""), 413; "one byte more than allowed")]
#[test_case(put_request("Transfer-Encoding: chunked\r\n", "fffffff\r\n"), 413; "a huge chunk")]
#[test_case(put_request("Transfer-Encoding: chunked\r\n", "-1\r\n"), 400; "a negative chunk")]
#[test_case(put_request("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n"), 400; "a chunk with more data than its size")]
#[test_case(put_request("Transfer-Encoding: gzip, chunked\r\n", ""), 501; "another coding")]
#[test_case(put_request("Content-Length : 5\r\n", "hello"), 400; "a space before the colon")]
#[test_case(b"GET / HTTP/1.1\r\n\r\n".to_vec(), 400; "no host")]
#[test_case(put_request("Host: other\r\n", ""), 400; "two hosts")]
#[test_case(b"\x16\x03\x01 noise \x00\r\n\r\n".to_vec(), 400; "a TLS hello")]
#[test_case(vec![b'x'; MAX_HEAD_BYTES + 1], 431; "a head without an end")]
#[test_case(b"\r\n".repeat(MAX_HEAD_BYTES / 2 + 1), 400; "blank lines without an end")]
#[test_case(put_request(&"A: b\r\n".repeat(100), ""), 431; "too many headers")]
fn invalid_requests_are_rejected(bytes: Vec<u8>, status: u16) {
    let error = decode_requests(&bytes, &[bytes.len()]).expect_err("an invalid request");
    assert_eq!(error.status, status, "{error}");
    // The status is the same when the bytes arrive in small pieces.
    assert_eq!(decode_requests(&bytes, &[7]).map_err(|error| error.status), Err(status));
}

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

#[test_case(OK_RESPONSE, 0; "content length")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 0; "informational responses before the final one")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", 0; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nho", 40; "a second response after the first is not decoded")]
fn valid_responses_are_decoded(text: &str, expected_trailing: usize) {
    let (parts, trailing) =
        decode_response(text.as_bytes(), &[text.len()], MAX_BODY_BYTES).expect("a valid response");
    assert!(
        matches!(&parts[..], [ResponsePart::Head(head), ResponsePart::Body(body), ResponsePart::End] if head.status == 200 && body == b"hi")
    );
    assert_eq!(trailing, expected_trailing);
}

// Guards against waiting for, buffering or forwarding a response that cannot be valid.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi"; "a length of three gigabytes")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nhi"; "both framings")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nhi"; "a length in words")]
#[test_case("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi"; "a status that is not a number")]
#[test_case("HTTP/1.1 101 Upgrade\r\n\r\n"; "a protocol upgrade")]
#[test_case("noise"; "arbitrary bytes without a line end")]
#[test_case("noise\n\n"; "arbitrary bytes with an empty line")]
fn invalid_responses_are_rejected(text: &str) {
    let error =
        decode_response(text.as_bytes(), &[text.len()], MAX_BODY_BYTES).expect_err("an invalid response");
    assert_eq!(decode_response(text.as_bytes(), &[1], MAX_BODY_BYTES), Err(error));
}

// Guards against a response that counts as complete although its connection closed early, or before its connection closed.
#[test_case("HTTP/1.1 200 OK\r\n\r\nhi", Some("hi"); "no length, ended by the close of the connection")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", Some(""); "no length and an empty body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", None; "shorter than its length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", None; "without its last chunk")]
#[test_case("HTTP/1.1 200 OK\r\nConte", None; "an incomplete head")]
#[test_case("", None; "no bytes")]
fn responses_that_the_close_of_the_connection_ends(text: &str, expected_body: Option<&str>) {
    for piece_length in 1..=text.len().max(1) {
        let (mut decoder, mut body, mut close) = (ResponseDecoder::new(MAX_BODY_BYTES), Vec::new(), false);
        for bytes in text.as_bytes().chunks(piece_length) {
            decoder.feed(bytes);
            while let Some(part) = decoder.poll().expect("a valid response") {
                match part {
                    ResponsePart::Head(head) => close = head.close,
                    ResponsePart::Body(more) => body.extend(more),
                    ResponsePart::End => panic!("the response ended before its connection"),
                }
            }
        }
        assert_eq!(decoder.finish(), expected_body.map(|_| ResponsePart::End));
        assert_eq!(decoder.finish(), None, "the end is returned once");
        if let Some(expected_body) = expected_body {
            assert_eq!((body.as_slice(), close), (expected_body.as_bytes(), true));
        }
    }
}

/// Guards against a response without a length and without an end that exhausts the memory.
#[test]
fn a_response_without_a_length_is_bounded() {
    let response = |excess: usize| format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(MAX_BODY_BYTES + excess));
    assert!(decode_response(response(0).as_bytes(), &[1000], MAX_BODY_BYTES).is_ok());
    assert!(decode_response(response(1).as_bytes(), &[1000], MAX_BODY_BYTES).is_err());
}

/// Guards against a node that sends informational responses or headers without an end.
#[test]
fn informational_responses_and_heads_are_bounded() {
    let informational = format!("{}{OK_RESPONSE}", "HTTP/1.1 102 Processing\r\n\r\n".repeat(20));
    assert!(decode_response(informational.as_bytes(), &[64], MAX_BODY_BYTES).is_err());
    let endless_head = format!("HTTP/1.1 200 OK\r\n{}", "A: b\r\n".repeat(MAX_HEAD_BYTES));
    assert!(decode_response(endless_head.as_bytes(), &[512], MAX_BODY_BYTES).is_err());
}

proptest! {
    /// Any split of the bytes gives the same requests, or the same error.
    #[test]
    fn requests_do_not_depend_on_the_split(
        bodies in proptest::collection::vec((any::<bool>(), proptest::collection::vec(any::<u8>(), 0..200)), 1..4),
        corrupted in proptest::option::of((0..400usize, any::<u8>())),
        piece_lengths in proptest::collection::vec(1..60usize, 1..20),
    ) {
        let mut bytes = Vec::new();
        for (chunked, body) in &bodies {
            if *chunked && !body.is_empty() {
                bytes.extend(put_request("Transfer-Encoding: chunked\r\n", &format!("{:x}\r\n", body.len())));
                bytes.extend(body);
                bytes.extend(b"\r\n0\r\n\r\n");
            } else {
                bytes.extend(put_request(&format!("Content-Length: {}\r\n", body.len()), ""));
                bytes.extend(body);
            }
        }
        if let Some((position, byte)) = corrupted {
            let position = position % bytes.len();
            bytes[position] = byte;
        }
        let whole = decode_requests(&bytes, &[bytes.len()]);
        prop_assert_eq!(decode_requests(&bytes, &piece_lengths), whole.clone());
        if corrupted.is_none() {
            let requests = whole.expect("valid requests");
            let decoded: Vec<_> = requests.into_iter().map(|request| request.body).collect();
            let sent: Vec<_> = bodies.into_iter().map(|(_, body)| body).collect();
            prop_assert_eq!(decoded, sent);
        }
    }

    /// The same holds for responses, and no bytes make the decoder panic.
    #[test]
    fn responses_do_not_depend_on_the_split(
        noise in proptest::collection::vec(any::<u8>(), 0..300), prefix_length in 0..60usize,
        piece_lengths in proptest::collection::vec(1..40usize, 1..20),
    ) {
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwild\r\n0\r\n\r\n";
        let mut bytes = chunked.as_bytes()[..prefix_length.min(chunked.len())].to_vec();
        bytes.extend(noise);
        let whole = decode_response(&bytes, &[bytes.len()], MAX_BODY_BYTES);
        let split = decode_response(&bytes, &piece_lengths, MAX_BODY_BYTES);
        prop_assert_eq!(split.as_ref().err(), whole.as_ref().err());
        if let (Ok(split), Ok(whole)) = (split, whole) {
            prop_assert_eq!(split, whole);
        }
    }
}

/// Guards against memory that is not counted while a body arrives: the target, and what each of many short fields takes.
#[test_case("/api".to_string(), 60; "short fields")]
#[test_case(format!("/api?{}", "q".repeat(15_000)), 0; "a long target")]
fn the_head_of_an_unfinished_request_is_counted_whole(target: String, field_count: usize) {
    let fields: String = (0..field_count).map(|number| format!("X-{number}:1\r\n")).collect();
    let head = format!("PUT {target} HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n{fields}\r\n");
    let mut decoder = RequestDecoder::default();
    decoder.feed(head.as_bytes());
    assert_eq!(decoder.poll(), Ok(None));
    let counted = decoder.memory_bytes();
    // A field of two short texts of its own would take 64 bytes beside its entry.
    assert!(counted > target.len() + 6 * field_count, "{counted}");
    assert!(counted < head.len() + 2500, "{counted} bytes for a head of {}", head.len());
}
