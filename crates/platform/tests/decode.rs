//! The platform's headers and configuration: what is read, and what is refused.

use std::path::{Path, PathBuf};

use quaypath_http::{Request, RequestDecoder, ResponseDecoder};
use quaypath_platform::decode::{asked, onward, shot, timeout, told, Told};
use quaypath_platform::Config;
use serde_json::{json, Value};
use test_case::test_case;

const SAMPLE: &str = include_str!("sample.json");

fn config() -> Config {
    Config::read(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/sample.json")), |_| None)
        .expect("a sample")
}

const GOOD: &str = "PUT /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\n\
    X-Priority-Class: buy\r\nX-Storage-Class: gold\r\nCookie: a=b; extent=7f3a9c21e0b4d655\r\nX-Timeout: 480m\r\n\
    Content-Length: 4\r\nX-Extent: volume=00000003b4d60021,units=2,shard=3,hosts=2\r\n\r\nbody";

fn request(text: &str) -> Request {
    let mut decoder = RequestDecoder::default();
    decoder.feed(text.as_bytes());
    decoder.poll().expect("readable").expect("whole")
}

#[test]
fn a_transaction_is_read_by_the_page() {
    let asked = asked(&request(GOOD), &config()).expect("fit");
    assert_eq!((asked.id.as_str(), asked.band, asked.plan), ("9b1f03aa5c7e2d41", 1, Some(1)));
    assert_eq!((asked.volume.as_str(), asked.extent.as_str()), ("00000003b4d60021", "7f3a9c21e0b4d655"));
    assert_eq!((asked.units, asked.block, asked.initiators, asked.budget), (2.0, Some(3), 2.0, 0.48));
    let anew = GOOD.replace("shard=3", "shard=-1");
    assert_eq!(super_asked(&anew).expect("fit").block, None);
    // No try is longer than the band's deadline over all tries: a huge one would be the measure for all others.
    let long = GOOD.replace("480m", "99999999m");
    assert_eq!(super_asked(&long).expect("fit").budget, 2.5);
}

fn super_asked(text: &str) -> Result<quaypath_platform::decode::Asked, (u16, &'static str)> {
    asked(&request(text), &config())
}

/// Guards against every request refused where the settings know no plans: then none need be named.
#[test]
fn without_plans_none_is_wanted() {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    for none in [json!([]), Value::Null] {
        value["settings"]["Policies"] = none;
        let path = written("no-plans", &value);
        let config = Config::read(&path, |_| None).expect("readable");
        for text in [GOOD.replace("X-Storage-Class: gold\r\n", ""), GOOD.to_string()] {
            assert_eq!(asked(&request(&text), &config).expect("fit").plan, None);
        }
    }
}

/// Guards against a second effect past the window for repeats: a repeat counts by when it arrives, and its connection
/// may come up late.
#[test]
fn the_window_for_repeats_leaves_room_for_the_way() {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    value["settings"]["Grades"][0]["Window"] = json!(0.1);
    value["settings"]["Grades"][1]["Window"] = json!(0.75);
    let config = Config::read(&written("window", &value), |_| None).expect("readable");
    assert_eq!((config.core.bands[0].dedup_window, config.core.bands[1].dedup_window), (0.0, 0.5));
}

// Guards against what a client made up reaching the core, whose tables would grow with it, or a node.
#[test_case("X-Priority-Class: buy", "X-Priority-Class: none"; "unknown class")]
#[test_case("X-Storage-Class: gold", "X-Storage-Class: lead"; "unknown plan")]
#[test_case("X-Request-ID: 9b1f03aa5c7e2d41\r\n", ""; "no id")]
#[test_case("X-Request-ID: 9b1f03aa5c7e2d41", "X-Request-ID: a\r\nX-Request-ID: b"; "two ids")]
#[test_case("480m", "soon"; "a time in words")]
#[test_case("480m", "480"; "a time without a unit")]
#[test_case("480m", "-480m"; "a time before now")]
#[test_case("480m", "infm"; "no end")]
#[test_case("480m", "nanu"; "not a number")]
#[test_case("480m", "0m"; "no time at all")]
#[test_case("480m", "1e9m"; "an exponent")]
#[test_case("7f3a9c21e0b4d655", "7f3a"; "a short extent")]
#[test_case("00000003b4d60021", "volume"; "a volume that is not hex")]
#[test_case("units=2", "units=0"; "no units")]
#[test_case("units=2", "units=1000000"; "more units than one may have")]
#[test_case("shard=3", "shard=4"; "a shard past the last")]
#[test_case("shard=3", "shard=-2"; "a negative shard")]
#[test_case("hosts=2", "hosts=0"; "no hosts")]
#[test_case("hosts=2", "hosts=2,units=3"; "units twice")]
#[test_case("PUT", "DELETE"; "another method")]
fn unfit(what: &str, with: &str) {
    let (status, why) = super_asked(&GOOD.replacen(what, with, 1)).expect_err("not fit");
    assert!((400..=501).contains(&status) && status != 429, "{status} {why}");
}

#[test_case("480m", Some(0.48); "milliseconds")]
#[test_case("1500u", Some(0.0015); "microseconds")]
#[test_case("0.5m", Some(0.0005); "a part of one")]
#[test_case("", None; "nothing")]
#[test_case("m", None; "only a unit")]
#[test_case("5\u{b5}", None; "another alphabet")]
fn times(text: &str, expected: Option<f64>) {
    let found = timeout(text);
    assert!(
        found.zip(expected).map_or(found == expected, |(one, other)| (one - other).abs() < 1e-12),
        "{found:?}"
    );
}

/// Method, target, body, id and the other headers go on as they came; what is one connection's own does not.
#[test]
fn what_goes_on_to_a_node() {
    let text = GOOD
        .replace("X-Extent", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nExpect: 100-continue\r\nX-Extent");
    let came = request(&text);
    let bytes = shot(&onward(&came), &came.body, 0.25);
    let gone = request(std::str::from_utf8(&bytes).expect("text"));
    assert_eq!((&gone.method, &gone.target, &gone.body), (&came.method, &came.target, &came.body));
    assert_eq!(gone.headers.single("x-timeout"), Some("250000u"));
    for same in [
        "x-request-id",
        "host",
        "x-priority-class",
        "x-storage-class",
        "cookie",
        "x-extent",
        "content-length",
    ] {
        assert_eq!(gone.headers.single(same), came.headers.single(same), "{same}");
    }
    for own in ["connection", "x-hop", "expect", "transfer-encoding"] {
        assert_eq!(gone.headers.single(own), None, "{own}");
    }
}

#[test_case("X-Delta: 7\r\nX-Server-Load: TEXT util=0.5, lat_ms=3.5, queue=2\r\n", 7.0, &[3.5, 0.5]; "both")]
#[test_case("X-Delta: many\r\nX-Server-Load: TEXT util=0.5, lat_ms=3.5\r\n", 0.0, &[3.5, 0.5]; "a use that cannot be read")]
#[test_case("X-Delta: -3\r\nX-Server-Load: \u{1f}\r\n", 0.0, &[]; "neither can be read")]
#[test_case("X-Delta: 2\r\nX-Server-Load: JSON {}\r\n", 2.0, &[]; "a report in another form")]
fn what_answers_tell(headers: &str, others: f64, report: &[f64]) {
    let mut decoder = ResponseDecoder::new(100);
    decoder.feed(format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{headers}\r\n").as_bytes());
    let Ok(Some(quaypath_http::ResponsePart::Head(head))) = decoder.poll() else {
        // A control character spoils the head; then the whole answer is.
        return assert!(headers.contains('\u{1f}'));
    };
    let fields = ["lat_ms".to_string(), "util".to_string()];
    assert_eq!(told(&head.headers, &fields), Told { others, report: report.to_vec() });
}

fn written(name: &str, value: &Value) -> PathBuf {
    let path = std::env::temp_dir().join(format!("quaypath-{}-{name}.json", std::process::id()));
    std::fs::write(&path, value.to_string()).expect("a file");
    path
}

#[test]
fn the_configuration_is_read() {
    let config = config();
    assert_eq!((config.name.as_str(), config.limits.sockets, config.known.index), ("n3", 256, 41));
    assert_eq!(config.names.bands, ["lookup", "buy"]);
    assert_eq!((config.waits.connect, config.waits.drain_grace, config.waits.blocks), (0.25, 2.0, 4));
    assert_eq!(config.waits.load, ["lat_ms", "util"]);
    assert!(config.core.reports_others_usage && !config.core.reports_usage && config.core.may_cancel);
}

/// The variables stand in where the file is silent, and only there.
#[test]
fn the_environment_stands_in() {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    value["listen"] = Value::Null;
    let path = written("silent", &value);
    let from = |name: &str| Some(if name == "BALANCER_LISTEN" { "127.0.0.1:7" } else { "wrong" }.to_string());
    let config = Config::read(&path, from).expect("readable");
    assert_eq!((config.listen.port(), config.name.as_str()), (7, "n3"));
}

#[test_case("/listen", json!("nowhere"), "listen: found nowhere"; "an address")]
#[test_case("/seed", json!("seed"), "seed: found seed"; "a seed")]
#[test_case("/limits", json!({"sockets": 3}), "64 sockets"; "limits")]
#[test_case("/known", json!({"index": -1}), "known: found"; "a list")]
#[test_case("/settings/Balancers", Value::Null, "setting Balancers is missing"; "missing")]
#[test_case("/settings/Grades/1/Objective", json!("soon"), "setting Grades.1.Objective: cannot read 'soon'"; "unreadable")]
#[test_case("/settings/Ceilings/ConnIdle", json!(0), "setting Ceilings.ConnIdle: found 0"; "out of range")]
fn a_wrong_entry_is_named(at: &str, with: Value, message: &str) {
    let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
    *value.pointer_mut(at).expect("in the sample") = with;
    let path = written(&at.replace('/', "-"), &value);
    let error = Config::read(&path, |_| None).expect_err("wrong").to_string();
    assert!(error.contains(message) && error.contains("quaypath-"), "{error}");
}
