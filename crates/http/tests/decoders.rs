//! Both decoders: what is read, what is refused and how, whatever the pieces it comes in.

use proptest::prelude::*;
use quaypath_http::{Part, Refused, Request, RequestDecoder, ResponseDecoder, MOST_BODY, MOST_HEAD};
use test_case::test_case;

/// All requests of these bytes, fed in pieces of these lengths over and over.
fn requests(bytes: &[u8], pieces: &[usize]) -> Result<Vec<Request>, Refused> {
    let (mut decoder, mut found, mut at) = (RequestDecoder::default(), Vec::new(), 0);
    for piece in pieces.iter().cycle() {
        let end = (at + piece.max(&1)).min(bytes.len());
        decoder.feed(&bytes[at..end]);
        at = end;
        while let Some(request) = decoder.poll()? {
            found.push(request);
        }
        if at == bytes.len() {
            break;
        }
    }
    Ok(found)
}

/// The parts of a response, its body in one, and the bytes left behind its end.
fn parts(bytes: &[u8], pieces: &[usize], most: usize) -> Result<(Vec<Part>, usize), Refused> {
    let (mut decoder, mut found, mut at) = (ResponseDecoder::new(most), Vec::new(), 0);
    for piece in pieces.iter().cycle() {
        let end = (at + piece.max(&1)).min(bytes.len());
        decoder.feed(&bytes[at..end]);
        at = end;
        while let Some(part) = decoder.poll()? {
            match (found.last_mut(), part) {
                (Some(Part::Body(body)), Part::Body(more)) => body.extend(more),
                (_, part) => found.push(part),
            }
        }
        if at == bytes.len() {
            break;
        }
    }
    Ok((found, decoder.behind()))
}

fn put(headers: &str, body: &str) -> Vec<u8> {
    format!("PUT /api?x=1 HTTP/1.1\r\nHost: service.internal\r\n{headers}\r\n{body}").into_bytes()
}

#[test_case(put("Content-Length: 5\r\n", "hello"), &["hello"]; "a length")]
#[test_case(put("Transfer-Encoding: chunked\r\n", "2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: 1\r\n\r\n"), &["hello"]; "chunks with extension and trailer")]
#[test_case(put("", ""), &[""]; "no body")]
#[test_case([put("Content-Length: 1\r\n", "a"), b"\r\n".to_vec(), put("Content-Length: 1\r\n", "b")].concat(), &["a", "b"]; "pipelined, with a line end between")]
#[test_case([b"\n".repeat(MOST_HEAD), put("", ""), b"\n".repeat(MOST_HEAD), put("", "")].concat(), &["", ""]; "as many blank lines as are let pass, anew before each")]
fn read(bytes: Vec<u8>, bodies: &[&str]) {
    let found = requests(&bytes, &[bytes.len()]).expect("readable");
    let texts: Vec<_> = found.iter().map(|one| String::from_utf8_lossy(&one.body).into_owned()).collect();
    assert_eq!(texts, bodies);
    assert!(found.iter().all(|one| one.target == "/api?x=1" && one.method == "PUT" && !one.close));
}

// Guards against a body that hides another request, and against bodies and heads without end.
#[test_case(put("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400; "both framings")]
#[test_case(put("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"), 400; "two lengths")]
#[test_case(put("Content-Length: -5\r\n", ""), 400; "negative")]
#[test_case(put("Content-Length: +5\r\n", "hello"), 400; "with a sign")]
#[test_case(put("Content-Length: 5, 5\r\n", "hello"), 400; "a list of lengths")]
#[test_case(put("Content-Length: 99999999999999999999999\r\n", ""), 413; "huge")]
#[test_case(put(&format!("Content-Length: {}\r\n", MOST_BODY + 1), ""), 413; "one byte too many")]
#[test_case(put("Transfer-Encoding: chunked\r\n", "fffffff\r\n"), 413; "a huge chunk")]
#[test_case(put("Transfer-Encoding: chunked\r\n", "-1\r\n"), 400; "a negative chunk")]
#[test_case(put("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n"), 400; "a chunk longer than it says")]
#[test_case(put("Transfer-Encoding: gzip, chunked\r\n", ""), 501; "another coding")]
#[test_case(put("Content-Length : 5\r\n", "hello"), 400; "a space before the colon")]
#[test_case(b"GET / HTTP/1.1\r\n\r\n".to_vec(), 400; "no host")]
#[test_case(put("Host: other\r\n", ""), 400; "two hosts")]
#[test_case(b"\x16\x03\x01 noise \x00\r\n\r\n".to_vec(), 400; "noise")]
#[test_case(vec![b'x'; MOST_HEAD + 1], 431; "a head that never ends")]
#[test_case(b"\r\n".repeat(MOST_HEAD / 2 + 1), 400; "blank lines that never end")]
#[test_case(put(&"A: b\r\n".repeat(100), ""), 431; "too many headers")]
fn refused(bytes: Vec<u8>, status: u16) {
    let error = requests(&bytes, &[bytes.len()]).expect_err("not to be read");
    assert_eq!(error.status, status, "{error}");
    // In small pieces it comes to the same end.
    assert_eq!(requests(&bytes, &[7]).map_err(|error| error.status), Err(status));
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

#[test_case(OK, 0; "a length")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 0; "informational answers before it")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", 0; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nho", 40; "a second answer behind the first is not taken")]
fn answers(text: &str, behind: usize) {
    let (found, left) = parts(text.as_bytes(), &[text.len()], MOST_BODY).expect("readable");
    assert!(
        matches!(&found[..], [Part::Head(head), Part::Body(body), Part::End] if head.status == 200 && body == b"hi")
    );
    assert_eq!(left, behind);
}

// Guards against answers that would be waited for, held or passed on though they cannot be right.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi"; "three gigabytes")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nhi"; "both framings")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nhi"; "a length in words")]
#[test_case("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi"; "no status")]
#[test_case("HTTP/1.1 101 Upgrade\r\n\r\n"; "an upgrade")]
#[test_case("noise"; "noise without a line end")]
#[test_case("noise\n\n"; "noise with one")]
fn spoilt(text: &str) {
    let whole = parts(text.as_bytes(), &[text.len()], MOST_BODY).expect_err("spoilt");
    assert_eq!(parts(text.as_bytes(), &[1], MOST_BODY), Err(whole));
}

// Guards against an answer that is taken as whole though its connection broke, or before it has ended.
#[test_case("HTTP/1.1 200 OK\r\n\r\nhi", Some("hi"); "no length: it ends with the connection")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", Some(""); "no length and no byte")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", None; "shorter than its length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", None; "without its last chunk")]
#[test_case("HTTP/1.1 200 OK\r\nConte", None; "half a head")]
#[test_case("", None; "nothing")]
fn ended_by_the_connection(text: &str, whole: Option<&str>) {
    for piece in 1..=text.len().max(1) {
        let (mut decoder, mut body, mut closes) = (ResponseDecoder::new(MOST_BODY), Vec::new(), false);
        for bytes in text.as_bytes().chunks(piece) {
            decoder.feed(bytes);
            while let Some(part) = decoder.poll().expect("readable") {
                match part {
                    Part::Head(head) => closes = head.close,
                    Part::Body(more) => body.extend(more),
                    Part::End => panic!("ended before its connection"),
                }
            }
        }
        assert_eq!(decoder.finish(), whole.map(|_| Part::End));
        assert_eq!(decoder.finish(), None, "it ends once");
        if let Some(whole) = whole {
            assert_eq!((body.as_slice(), closes), (whole.as_bytes(), true));
        }
    }
}

/// Guards against an answer that has no length and no end, and takes the memory.
#[test]
fn an_answer_without_a_length_is_bounded() {
    let text = |more: usize| format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(MOST_BODY + more));
    assert!(parts(text(0).as_bytes(), &[1000], MOST_BODY).is_ok());
    assert!(parts(text(1).as_bytes(), &[1000], MOST_BODY).is_err());
}

#[test]
fn informational_answers_and_heads_have_an_end() {
    let many = format!("{}{OK}", "HTTP/1.1 102 Processing\r\n\r\n".repeat(20));
    assert!(parts(many.as_bytes(), &[64], MOST_BODY).is_err());
    let endless = format!("HTTP/1.1 200 OK\r\n{}", "A: b\r\n".repeat(MOST_HEAD));
    assert!(parts(endless.as_bytes(), &[512], MOST_BODY).is_err());
}

proptest! {
    /// Any split of the bytes gives the same requests, or the same refusal.
    #[test]
    fn splits_of_requests(
        bodies in proptest::collection::vec((any::<bool>(), proptest::collection::vec(any::<u8>(), 0..200)), 1..4),
        broken in proptest::option::of((0..400usize, any::<u8>())),
        pieces in proptest::collection::vec(1..60usize, 1..20),
    ) {
        let mut bytes = Vec::new();
        for (chunked, body) in &bodies {
            if *chunked && !body.is_empty() {
                bytes.extend(put("Transfer-Encoding: chunked\r\n", &format!("{:x}\r\n", body.len())));
                bytes.extend(body);
                bytes.extend(b"\r\n0\r\n\r\n");
            } else {
                bytes.extend(put(&format!("Content-Length: {}\r\n", body.len()), ""));
                bytes.extend(body);
            }
        }
        if let Some((at, byte)) = broken {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        let whole = requests(&bytes, &[bytes.len()]);
        prop_assert_eq!(requests(&bytes, &pieces), whole.clone());
        if broken.is_none() {
            let found = whole.expect("readable");
            let found: Vec<_> = found.into_iter().map(|one| one.body).collect();
            let sent: Vec<_> = bodies.into_iter().map(|(_, body)| body).collect();
            prop_assert_eq!(found, sent);
        }
    }

    /// The same for answers; and no bytes at all make a decoder panic.
    #[test]
    fn splits_of_answers(
        noise in proptest::collection::vec(any::<u8>(), 0..300), at in 0..60usize,
        pieces in proptest::collection::vec(1..40usize, 1..20),
    ) {
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwild\r\n0\r\n\r\n";
        let mut bytes = chunked.as_bytes()[..at.min(chunked.len())].to_vec();
        bytes.extend(noise);
        let whole = parts(&bytes, &[bytes.len()], MOST_BODY);
        let split = parts(&bytes, &pieces, MOST_BODY);
        prop_assert_eq!(split.as_ref().err(), whole.as_ref().err());
        if let (Ok(split), Ok(whole)) = (split, whole) {
            prop_assert_eq!(split, whole);
        }
    }
}
