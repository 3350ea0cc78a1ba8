//! The platform's headers and configuration: what is accepted and decoded, and what is rejected.

use std::path::{Path, PathBuf};

use quaypath_http::{Request, RequestDecoder, ResponseDecoder};
use quaypath_platform::headers::{
    decode_node_report, decode_transaction, encode_forwarded_head, encode_shot_headers, parse_timeout,
    NodeReport, TransactionRequest,
};
use quaypath_platform::Config;
use serde_json::{json, Value};
use test_case::test_case;

const SAMPLE: &str = include_str!("sample.json");

fn sample_config() -> Config {
    Config::read(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/sample.json")), |_| None)
        .expect("the sample configuration")
}

const VALID_REQUEST: &str = "PUT /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\n\
    X-Priority-Class: buy\r\nX-Storage-Class: gold\r\nCookie: a=b; extent=7f3a9c21e0b4d655\r\nX-Timeout: 480m\r\n\
    Content-Length: 4\r\nX-Extent: volume=00000003b4d60021,units=2,shard=3,hosts=2\r\n\r\nbody";

fn decode_request(text: &str) -> Request {
    let mut decoder = RequestDecoder::default();
    decoder.feed(text.as_bytes());
    decoder.poll().expect("a valid request").expect("a complete request")
}

#[test]
fn a_transaction_is_decoded_by_the_specification() {
    let transaction =
        decode_transaction(&decode_request(VALID_REQUEST), &sample_config()).expect("a valid transaction");
    assert_eq!(
        (transaction.id.as_str(), transaction.band, transaction.plan),
        ("9b1f03aa5c7e2d41", 1, Some(1))
    );
    assert_eq!(
        (transaction.volume.as_str(), transaction.extent.as_str()),
        ("00000003b4d60021", "7f3a9c21e0b4d655")
    );
    assert_eq!(
        (transaction.units, transaction.block, transaction.initiators, transaction.budget),
        (2.0, Some(3), 2.0, 0.48)
    );
    let without_block = VALID_REQUEST.replace("shard=3", "shard=-1");
    assert_eq!(decode(&without_block).expect("a valid transaction").block, None);
    // No budget is longer than the band's deadline over all tries: a huge budget would become the measure for all others.
    let long_budget = VALID_REQUEST.replace("480m", "99999999m");
    assert_eq!(decode(&long_budget).expect("a valid transaction").budget, 2.5);
}

fn decode(text: &str) -> Result<TransactionRequest, (u16, &'static str)> {
    decode_transaction(&decode_request(text), &sample_config())
}

/// Guards against rejecting every request when the settings define no plans; requests need not name one then.
#[test]
fn without_plans_a_request_names_none() {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    for no_plans in [json!([]), Value::Null] {
        value["settings"]["Policies"] = no_plans;
        let path = write_config("no-plans", &value);
        let config = Config::read(&path, |_| None).expect("a valid configuration");
        for text in [VALID_REQUEST.replace("X-Storage-Class: gold\r\n", ""), VALID_REQUEST.to_string()] {
            assert_eq!(
                decode_transaction(&decode_request(&text), &config).expect("a valid transaction").plan,
                None
            );
        }
    }
}

/// Guards against a second effect of a repeat beyond the dedup window: a node counts the window to the arrival of the
/// repeat, which a new connection may delay by the connect timeout.
#[test]
fn the_dedup_window_is_shortened_by_the_connect_timeout() {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    value["settings"]["Grades"][0]["Window"] = json!(0.1);
    value["settings"]["Grades"][1]["Window"] = json!(0.75);
    let config = Config::read(&write_config("window", &value), |_| None).expect("a valid configuration");
    assert_eq!((config.core.bands[0].dedup_window, config.core.bands[1].dedup_window), (0.0, 0.5));
}

// Guards against invalid values of a client that reach the core, whose tables would grow with them, or a node.
#[test_case("X-Priority-Class: buy", "X-Priority-Class: none"; "unknown priority class")]
#[test_case("X-Storage-Class: gold", "X-Storage-Class: lead"; "unknown plan")]
#[test_case("X-Request-ID: 9b1f03aa5c7e2d41\r\n", ""; "no request id")]
#[test_case("X-Request-ID: 9b1f03aa5c7e2d41", "X-Request-ID: a\r\nX-Request-ID: b"; "two request ids")]
#[test_case("480m", "soon"; "a timeout in words")]
#[test_case("480m", "480"; "a timeout without a unit")]
#[test_case("480m", "-480m"; "a negative timeout")]
#[test_case("480m", "infm"; "an infinite timeout")]
#[test_case("480m", "nanu"; "not a number")]
#[test_case("480m", "0m"; "a timeout of zero")]
#[test_case("480m", "1e9m"; "a timeout with an exponent")]
#[test_case("7f3a9c21e0b4d655", "7f3a"; "a short extent")]
#[test_case("00000003b4d60021", "volume"; "a volume that is not hex")]
#[test_case("units=2", "units=0"; "zero units")]
#[test_case("units=2", "units=1000000"; "more units than a transaction may have")]
#[test_case("shard=3", "shard=4"; "a shard past the last")]
#[test_case("shard=3", "shard=-2"; "a negative shard")]
#[test_case("hosts=2", "hosts=0"; "zero hosts")]
#[test_case("hosts=2", "hosts=2,units=3"; "units twice")]
#[test_case("PUT", "DELETE"; "another method")]
fn invalid_transactions_are_rejected(valid: &str, invalid: &str) {
    let (status, reason) =
        decode(&VALID_REQUEST.replacen(valid, invalid, 1)).expect_err("an invalid transaction");
    assert!((400..=501).contains(&status) && status != 429, "{status} {reason}");
}

#[test_case("480m", Some(0.48); "milliseconds")]
#[test_case("1500u", Some(0.0015); "microseconds")]
#[test_case("0.5m", Some(0.0005); "a fraction of a millisecond")]
#[test_case("", None; "an empty text")]
#[test_case("m", None; "a unit without a number")]
#[test_case("5\u{b5}", None; "a unit that is not ASCII")]
fn timeouts_are_parsed(text: &str, expected: Option<f64>) {
    let parsed = parse_timeout(text);
    assert!(
        parsed
            .zip(expected)
            .map_or(parsed == expected, |(parsed, expected)| (parsed - expected).abs() < 1e-12),
        "{parsed:?}"
    );
}

/// Method, target, body, request id and the other headers are forwarded as received; headers of one connection are not.
#[test]
fn a_shot_forwards_all_but_the_headers_of_one_connection() {
    let text = VALID_REQUEST
        .replace("X-Extent", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nExpect: 100-continue\r\nX-Extent");
    let received = decode_request(&text);
    let head = encode_forwarded_head(&received);
    let shot_headers = encode_shot_headers(&head, &received.body, 0.25);
    let bytes = [&head, shot_headers.as_bytes(), &received.body].concat();
    let sent = decode_request(std::str::from_utf8(&bytes).expect("text"));
    assert_eq!(
        (&sent.method, &sent.target, &sent.body),
        (&received.method, &received.target, &received.body)
    );
    assert_eq!(sent.headers.single("x-timeout"), Some("250000u"));
    for forwarded in [
        "x-request-id",
        "host",
        "x-priority-class",
        "x-storage-class",
        "cookie",
        "x-extent",
        "content-length",
    ] {
        assert_eq!(sent.headers.single(forwarded), received.headers.single(forwarded), "{forwarded}");
    }
    for not_forwarded in ["connection", "x-hop", "expect", "transfer-encoding"] {
        assert_eq!(sent.headers.single(not_forwarded), None, "{not_forwarded}");
    }
}

#[test_case("X-Delta: 7\r\nX-Server-Load: TEXT util=0.5, lat_ms=3.5, queue=2\r\n", 7.0, &[3.5, 0.5]; "both headers")]
#[test_case("X-Delta: many\r\nX-Server-Load: TEXT util=0.5, lat_ms=3.5\r\n", 0.0, &[3.5, 0.5]; "a use that cannot be parsed")]
#[test_case("X-Delta: -3\r\nX-Server-Load: \u{1f}\r\n", 0.0, &[]; "neither can be parsed")]
#[test_case("X-Delta: 2\r\nX-Server-Load: JSON {}\r\n", 2.0, &[]; "a report in another format")]
fn node_reports_are_decoded(headers: &str, others_units: f64, load: &[f64]) {
    let mut decoder = ResponseDecoder::new(100);
    decoder.feed(format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{headers}\r\n").as_bytes());
    let Ok(Some(quaypath_http::ResponsePart::Head(head))) = decoder.poll() else {
        // A control character makes the head invalid, and with it the whole response.
        return assert!(headers.contains('\u{1f}'));
    };
    let fields = ["lat_ms".to_string(), "util".to_string()];
    assert_eq!(decode_node_report(&head.headers, &fields), NodeReport { others_units, load: load.to_vec() });
}

fn write_config(name: &str, value: &Value) -> PathBuf {
    let path = std::env::temp_dir().join(format!("quaypath-{}-{name}.json", std::process::id()));
    std::fs::write(&path, value.to_string()).expect("a writable file");
    path
}

#[test]
fn the_sample_configuration_is_read() {
    let config = sample_config();
    assert_eq!((config.name.as_str(), config.limits.sockets, config.initial_list.index), ("n3", 256, 41));
    assert_eq!(config.names.bands, ["lookup", "buy"]);
    assert_eq!(
        (config.transport.connect_timeout, config.transport.drain_grace, config.transport.block_count),
        (0.25, 2.0, 4)
    );
    assert_eq!(config.transport.load_fields, ["lat_ms", "util"]);
    assert!(config.core.reports_others_usage && !config.core.reports_usage && config.core.may_cancel);
}

/// An environment variable is used for an entry that the file does not have, and only for such an entry.
#[test]
fn the_environment_replaces_missing_entries() {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    value["listen"] = Value::Null;
    let path = write_config("missing-entry", &value);
    let variable =
        |name: &str| Some(if name == "BALANCER_LISTEN" { "127.0.0.1:7" } else { "wrong" }.to_string());
    let config = Config::read(&path, variable).expect("a valid configuration");
    assert_eq!((config.listen.port(), config.name.as_str()), (7, "n3"));
}

#[test_case("/listen", json!("nowhere"), "listen: found nowhere"; "an invalid address")]
#[test_case("/seed", json!("seed"), "seed: found seed"; "an invalid seed")]
#[test_case("/limits", json!({"sockets": 3}), "64 sockets"; "limits that are too low")]
#[test_case("/known", json!({"index": -1}), "known: found"; "an invalid list")]
#[test_case("/settings/Balancers", Value::Null, "setting Balancers is missing"; "a missing setting")]
#[test_case("/settings/Grades/1/Objective", json!("soon"), "setting Grades.1.Objective: cannot read 'soon'"; "a setting that is not a number")]
#[test_case("/settings/Ceilings/ConnIdle", json!(0), "setting Ceilings.ConnIdle: found 0"; "a setting out of range")]
fn an_invalid_entry_is_named(pointer: &str, invalid: Value, message: &str) {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    *value.pointer_mut(pointer).expect("an entry of the sample") = invalid;
    let path = write_config(&pointer.replace('/', "-"), &value);
    let error = Config::read(&path, |_| None).expect_err("an invalid configuration").to_string();
    assert!(error.contains(message) && error.contains("quaypath-"), "{error}");
}

/// Guards against a reload that takes what a start would refuse, or that keeps another address than the file names.
#[test]
fn a_reloaded_configuration_is_checked_as_a_whole() {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    let path = write_config("reloaded", &value);
    let config = Config::read(&path, |_| None).expect("a valid configuration");
    let mut reload = |pointer: &str, entry: Value| {
        let previous = std::mem::replace(value.pointer_mut(pointer).expect("an entry of the sample"), entry);
        write_config("reloaded", &value);
        *value.pointer_mut(pointer).expect("an entry") = previous;
        config.reload(|_| None)
    };
    let known_node = |status: &str| json!({"index": 4, "endpoints": [{"name": "s-1", "address": "127.0.0.1:1", "status": status}]});
    assert!(reload("/known", known_node("terminating")).is_ok());
    let moved = reload("/discovery", json!("127.0.0.1:7")).expect("a valid configuration");
    assert_eq!(moved.port(), 7);
    for (pointer, invalid, message) in [
        ("/known", json!({"index": 4, "endpoints": [{"name": "s-1"}]}), "known: found missing field"),
        ("/known", known_node("away"), "known: found unknown variant"),
        ("/settings/Grades/1/Objective", json!("soon"), "setting Grades.1.Objective: cannot read 'soon'"),
        ("/limits", json!({"sockets": 3}), "64 sockets"),
        ("/name", json!("n".repeat(40_000)), "bytes beside its node list"),
    ] {
        let error = reload(pointer, invalid).expect_err("an invalid configuration").to_string();
        assert!(error.contains(message), "{error}");
    }
    std::fs::write(&path, SAMPLE.trim_end().trim_end_matches('}')).expect("a writable file");
    let error = config.reload(|_| None).expect_err("half a file").to_string();
    assert!(error.contains("the file: found EOF"), "{error}");
}
