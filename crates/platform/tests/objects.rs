//! The watch's stream in objects: what is one object, whatever pieces it comes in, and what is refused.

use proptest::prelude::*;
use quaypath_platform::objects::{Error, Objects, Part};
use test_case::test_case;

fn parts(text: &str, piece: usize) -> Result<Vec<String>, Error> {
    let mut objects = Objects::new(64);
    let mut found = Vec::new();
    for bytes in text.as_bytes().chunks(piece) {
        for part in objects.feed(bytes)? {
            found.push(match part {
                Part::Object(bytes) => String::from_utf8(bytes).expect("text"),
                Part::Line => "line".to_string(),
            });
        }
    }
    Ok(found)
}

// Guards against a list that is thrown away for its white space, and against a line end inside one taken for a sign
// of life.
#[test_case("{\"a\":1}\n{\"b\":[{}]}\n", &["{\"a\":1}", "line", "{\"b\":[{}]}", "line"]; "one on a line")]
#[test_case("{\n  \"a\": [\n    1\n  ]\n}\n", &["{\n  \"a\": [\n    1\n  ]\n}", "line"]; "indented")]
#[test_case("{\"a\":\"}\\\"{\"}{}", &["{\"a\":\"}\\\"{\"}", "{}"]; "brackets and quotes in strings, nothing between")]
#[test_case("\r\n \t\n", &["line", "line"]; "empty lines")]
#[test_case("{\"a\":", &[]; "half an object")]
fn read(text: &str, expected: &[&str]) {
    for piece in 1..=text.len() {
        assert_eq!(parts(text, piece).expect("readable"), expected, "in pieces of {piece}");
    }
}

#[test_case("{} x", Error::Stray(b'x'); "noise between")]
#[test_case("]", Error::Stray(b']'); "an end without a beginning")]
fn refused(text: &str, expected: Error) {
    assert_eq!(parts(text, 1), Err(expected));
}

/// Guards against an object without an end that takes the memory.
#[test]
fn an_object_is_bounded() {
    let fits = format!("{{\"a\":\"{}\"}}", "x".repeat(64 - 8));
    assert_eq!(parts(&fits, 7).expect("it fits").len(), 1);
    let long = format!("{{\"a\":\"{}\"}}", "x".repeat(64 - 7));
    assert_eq!(parts(&long, 7), Err(Error::Long(64)));
}

proptest! {
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut objects = Objects::new(64);
        let _ = bytes.chunks(3).try_for_each(|piece| objects.feed(piece).map(drop));
    }
}
