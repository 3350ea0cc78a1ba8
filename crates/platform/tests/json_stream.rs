//! The splitting of discovery's watch stream into JSON objects: what counts as one object in whatever pieces it arrives, and
//! what is rejected.

use proptest::prelude::*;
use quaypath_platform::json_stream::{Error, JsonSplitter, StreamPart};
use test_case::test_case;

fn split(text: &str, piece_length: usize) -> Result<Vec<String>, Error> {
    let mut splitter = JsonSplitter::new(64);
    let mut parts = Vec::new();
    for bytes in text.as_bytes().chunks(piece_length) {
        for part in splitter.feed(bytes)? {
            parts.push(match part {
                StreamPart::Object(bytes) => String::from_utf8(bytes).expect("text"),
                StreamPart::LineEnd => "line".to_string(),
            });
        }
    }
    Ok(parts)
}

// Guards against rejecting a list because of its white space, and against taking a line end inside an object for a
// heartbeat of the watch.
#[test_case("{\"a\":1}\n{\"b\":[{}]}\n", &["{\"a\":1}", "line", "{\"b\":[{}]}", "line"]; "one object on each line")]
#[test_case("{\n  \"a\": [\n    1\n  ]\n}\n", &["{\n  \"a\": [\n    1\n  ]\n}", "line"]; "an indented object")]
#[test_case("{\"a\":\"}\\\"{\"}{}", &["{\"a\":\"}\\\"{\"}", "{}"]; "brackets and quotes in strings, nothing between the objects")]
#[test_case("\r\n \t\n", &["line", "line"]; "empty lines")]
#[test_case("{\"a\":", &[]; "an incomplete object")]
fn streams_are_split(text: &str, expected: &[&str]) {
    for piece_length in 1..=text.len() {
        assert_eq!(
            split(text, piece_length).expect("a valid stream"),
            expected,
            "in pieces of {piece_length}"
        );
    }
}

#[test_case("{} x", Error::UnexpectedByte(b'x'); "a letter between objects")]
#[test_case("]", Error::UnexpectedByte(b']'); "a closing bracket without an opening one")]
fn invalid_streams_are_rejected(text: &str, expected: Error) {
    assert_eq!(split(text, 1), Err(expected));
}

/// Guards against an object without an end that exhausts the memory.
#[test]
fn the_length_of_an_object_is_bounded() {
    let longest = format!("{{\"a\":\"{}\"}}", "x".repeat(64 - 8));
    assert_eq!(split(&longest, 7).expect("an object of the allowed length").len(), 1);
    let too_long = format!("{{\"a\":\"{}\"}}", "x".repeat(64 - 7));
    assert_eq!(split(&too_long, 7), Err(Error::ObjectTooLong(64)));
}

proptest! {
    /// No bytes make the splitter panic.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut splitter = JsonSplitter::new(64);
        let _ = bytes.chunks(3).try_for_each(|piece| splitter.feed(piece).map(drop));
    }
}
