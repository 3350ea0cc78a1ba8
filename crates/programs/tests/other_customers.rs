//! Settings of other customers, drawn within the pages' forms: the real program starts with them, serves each class and
//! plan, keeps the rules that one stand-in node can see.

mod rig;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{RngSeed, TestRunner};
use rig::{answer_ok, exchange, node_list, request_id, Discovery, Gateway, Node};
use serde_json::{json, Map, Value};
use test_case::test_case;

/// For each seed; seeds are fixed, so that the verdict is.
const DRAWN: u32 = 8;

/// As an operator may call a class or a plan.
fn name() -> impl Strategy<Value = String> {
    select(vec!["checkout", "a.b.c", "two words", "größe", "取引", "x", "9", "A-1/b", "Ωμέγα", "UPPER_lower"])
        .prop_map(String::from)
}

/// A field that may be absent.
fn maybe(value: impl Strategy<Value = Value> + 'static) -> BoxedStrategy<Option<Value>> {
    prop_oneof![1 => Just(None), 3 => value.prop_map(Some)].boxed()
}

fn number(from: &[f64]) -> BoxedStrategy<Value> {
    select(from.to_vec()).prop_map(|number| json!(number)).boxed()
}

fn flag() -> BoxedStrategy<Value> {
    any::<bool>().prop_map(Value::Bool).boxed()
}

fn word(of: &'static [&'static str]) -> BoxedStrategy<Value> {
    select(of).prop_map(|word| json!(word)).boxed()
}

type Fields = Vec<(&'static str, BoxedStrategy<Option<Value>>)>;

/// An object of fields, each there or not.
fn object(fields: Fields) -> BoxedStrategy<Value> {
    let (names, values): (Vec<_>, Vec<_>) = fields.into_iter().unzip();
    let of = move |values: Vec<Option<Value>>| {
        let pairs = names.iter().zip(values).filter_map(|(name, value)| Some((name.to_string(), value?)));
        Value::Object(pairs.collect::<Map<_, _>>())
    };
    values.prop_map(of).boxed()
}

fn always(value: BoxedStrategy<Value>) -> BoxedStrategy<Option<Value>> {
    value.prop_map(Some).boxed()
}

fn class() -> BoxedStrategy<Value> {
    object(vec![
        ("Name", always(name().prop_map(|name| json!(name)).boxed())),
        ("Objective", always(number(&[0.05, 0.2, 1.0, 2.0]))),
        ("Deadline", always(number(&[0.2, 0.5, 2.0, 8.0]))),
        ("Credit", maybe(number(&[0.0, 0.5, 3.0, 40.0]))),
        ("Repeat", always(word(&["retryable", "dedup", "fragile"]))),
        ("DedupScope", maybe(word(&["all", "zone", "cell"]))),
        ("Window", maybe(number(&[0.0, 0.1, 5.0]))),
        ("LateWorth", maybe(number(&[0.0, 0.15]))),
        ("KeepOrder", maybe(flag())),
        ("Stream", maybe(Just(Value::Bool(false)).boxed())),
    ])
}

/// A limit may be under one unit a second; what may go at once holds the largest request for each initiator of a volume.
fn plan() -> BoxedStrategy<Value> {
    object(vec![
        ("Name", always(name().prop_map(|name| json!(name)).boxed())),
        ("Cap", maybe(number(&[0.0, 0.5, 20.0, 1000.0]))),
        ("CapSlack", maybe(number(&[0.0, 4.0]))),
        ("MostAtOnce", always(number(&[24.0, 100.0]))),
        ("Nominal", maybe(number(&[0.0, 0.4, 50.0]))),
        ("Guaranteed", maybe(number(&[0.0, 0.3, 400.0]))),
        ("Proportion", maybe(number(&[0.0, 1.0, 9.0]))),
        ("WorthFactor", maybe(number(&[0.2, 1.0, 3.0]))),
    ])
}

/// One of each name, as names tell them apart.
fn named(of: Vec<Value>) -> Vec<Value> {
    let by_name: BTreeMap<String, Value> =
        of.into_iter().map(|value| (value["Name"].to_string(), value)).collect();
    by_name.into_values().collect()
}

fn settings() -> BoxedStrategy<Value> {
    let classes = proptest::collection::vec(class(), 1..5).prop_map(|all| Value::Array(named(all)));
    let plans = proptest::collection::vec(plan(), 0..4).prop_map(|all| Value::Array(named(all)));
    object(vec![
        ("Balancers", always(select(vec![1, 3, 30, 1024]).prop_map(|count| json!(count)).boxed())),
        ("RegistryMode", maybe(word(&["pushed", "on_request"]))),
        ("Grades", always(classes.boxed())),
        ("Policies", maybe(plans)),
        (
            "FamilyInfo",
            maybe(object(vec![
                ("MeanUnits", maybe(number(&[0.5, 2.0, 12.0]))),
                ("MostUnits", maybe(number(&[6.0, 100.0]))),
                (
                    "NShards",
                    maybe(number(&[4.0, 40.0]).prop_map(|count| json!(count.as_f64().unwrap() as i64))),
                ),
                ("YoungLimit", maybe(number(&[0.0, 1.0, 200.0]))),
                ("CountsOthers", maybe(flag())),
                ("Metering", maybe(number(&[0.0, 2.0]))),
            ])),
        ),
        (
            "Ceilings",
            always(object(vec![
                ("MayCancel", maybe(flag())),
                ("MayDuplicate", maybe(flag())),
                ("MaxAttempts", maybe(select(vec![1, 2, 6]).prop_map(|count| json!(count)).boxed())),
                ("RetryAfter", maybe(flag())),
                ("MaxRetryAfter", maybe(number(&[0.0, 0.3, 2.0]))),
                ("ConnIdle", always(number(&[0.5, 3.0, 60.0]))),
                ("ConnectTimeout", always(number(&[0.1, 0.5]))),
            ])),
        ),
        (
            "Rules",
            maybe(object(vec![
                ("DrainGrace", maybe(number(&[0.0, 0.3, 5.0]))),
                ("FallMultiple", maybe(number(&[1.0, 4.0]))),
                ("OverloadFor", maybe(number(&[0.0, 0.5, 3.0]))),
                ("StartCapacity", maybe(number(&[0.0, 0.1, 1.0]))),
                ("Cold", maybe(number(&[0.0, 5.0, 20.0]))),
                ("KeyQuiet", maybe(number(&[0.0, 0.2]))),
                ("LookBack", maybe(number(&[0.0, 5.0]))),
                ("ResendRatio", maybe(number(&[0.0, 0.2]))),
                ("SpareAttempts", maybe(number(&[0.0, 3.0]))),
            ])),
        ),
        ("Reporting", maybe(object(vec![("Fields", maybe(Just(json!(["lat_ms", "busy"])).boxed()))]))),
    ])
}

fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().expect("a name")
}

/// Plays one draw: every class with every plan, one unit each, until it is served.
fn play(settings: &Value, sockets: usize, memory: usize) -> Result<(), TestCaseError> {
    let node = Node::start(answer_ok);
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let gateway = Gateway::start(&list, discovery.address, |config| {
        config["settings"] = settings.clone();
        config["limits"] = json!({"memory_mb": memory, "sockets": sockets});
    });
    let none = [json!({"Name": "none", "Cap": 0.0, "MostAtOnce": 0.0})];
    let plans = settings["Policies"].as_array().filter(|plans| !plans.is_empty());
    let (mut sent, mut asked) = (BTreeMap::new(), 0);
    for (of, plan) in plans.map_or(&none[..], Vec::as_slice).iter().enumerate() {
        for class in settings["Grades"].as_array().expect("classes") {
            let began = Instant::now();
            loop {
                asked += 1;
                let id = format!("id{asked}");
                let time = (class["Deadline"].as_f64().expect("a time") * 1e3) as u64;
                let request = format!(
                    "PUT /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Priority-Class: {}\r\n\
                     X-Storage-Class: {}\r\nCookie: extent=7f3a9c21e0b4d655\r\nX-Timeout: {time}m\r\n\
                     Content-Length: 4\r\nX-Extent: volume={of:016x},units=1,shard=3,hosts=1\r\n\r\nbody",
                    text(class, "Name"),
                    text(plan, "Name"),
                );
                let (status, head, body) = exchange(&mut gateway.connect(), &request);
                if status == 200 {
                    prop_assert_eq!(&body, &id);
                    *sent.entry(of).or_insert(0.0) += 1.0;
                    break;
                }
                // Limits fill from nothing, and a busy machine may be late for the shortest deadlines; a refusal
                // is harmless, and nothing else is one.
                prop_assert_eq!(status, 503, "{}", head);
                prop_assert!(
                    began.elapsed() < Duration::from_secs(20),
                    "{} is not served",
                    text(class, "Name")
                );
            }
        }
    }
    let seen = node
        .request_heads
        .lock()
        .expect("no panic")
        .iter()
        .map(|head| request_id(head).to_string())
        .collect::<Vec<_>>();
    let mut once = seen.clone();
    once.sort();
    once.dedup();
    prop_assert_eq!(once.len(), seen.len(), "a second copy of what was served");
    for (of, plan) in plans.into_iter().flatten().enumerate() {
        let (rate, burst) = (plan["Cap"].as_f64().unwrap_or(0.0), plan["MostAtOnce"].as_f64().unwrap_or(0.0));
        prop_assert!(rate == 0.0 || sent[&of] <= burst, "{} over its limit", text(plan, "Name"));
    }
    // Still there, with nothing open: a panic would have ended it.
    prop_assert_eq!(exchange(&mut gateway.connect(), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").0, 200);
    Ok(())
}

#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[test_case(14)]
#[test_case(15)]
fn drawn_settings_are_served(seed: u64) {
    let config = ProptestConfig {
        cases: DRAWN,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: 20,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let limits = (select(vec![64, 256, 1024]), select(vec![16, 192]));
    let drawn = TestRunner::new(config)
        .run(&(settings(), limits), |(settings, (sockets, memory))| play(&settings, sockets, memory));
    if let Err(error) = drawn {
        panic!("{error}");
    }
}
