//! Property test of the platform gateway with random valid settings: the real program starts with them, serves each class
//! and plan, and keeps the rules that one test node can observe.

mod rig;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{RngSeed, TestRunner};
use rig::{answer_ok, exchange, node_list, request_id, Discovery, Gateway, Node};
use serde_json::{json, Map, Value};
use test_case::test_case;

/// Random settings per seed. Seeds are fixed, so that the result is reproducible.
const CASES_PER_SEED: u32 = 8;

/// A name that an operator may give to a class or plan.
fn operator_name() -> impl Strategy<Value = String> {
    select(vec!["checkout", "a.b.c", "two words", "größe", "取引", "x", "9", "A-1/b", "Ωμέγα", "UPPER_lower"])
        .prop_map(String::from)
}

/// A field that is absent in one of four cases.
fn optional(value: impl Strategy<Value = Value> + 'static) -> BoxedStrategy<Option<Value>> {
    prop_oneof![1 => Just(None), 3 => value.prop_map(Some)].boxed()
}

/// One of these numbers.
fn number_of(choices: &[f64]) -> BoxedStrategy<Value> {
    select(choices.to_vec()).prop_map(|number| json!(number)).boxed()
}

fn flag() -> BoxedStrategy<Value> {
    any::<bool>().prop_map(Value::Bool).boxed()
}

/// One of these strings.
fn choice(choices: &'static [&'static str]) -> BoxedStrategy<Value> {
    select(choices).prop_map(|word| json!(word)).boxed()
}

type Fields = Vec<(&'static str, BoxedStrategy<Option<Value>>)>;

/// A JSON object of these fields; a field without a value is left out.
fn object(fields: Fields) -> BoxedStrategy<Value> {
    let (names, values): (Vec<_>, Vec<_>) = fields.into_iter().unzip();
    let to_object = move |values: Vec<Option<Value>>| {
        let pairs = names.iter().zip(values).filter_map(|(name, value)| Some((name.to_string(), value?)));
        Value::Object(pairs.collect::<Map<_, _>>())
    };
    values.prop_map(to_object).boxed()
}

fn required(value: BoxedStrategy<Value>) -> BoxedStrategy<Option<Value>> {
    value.prop_map(Some).boxed()
}

/// Settings of a request class.
fn class() -> BoxedStrategy<Value> {
    object(vec![
        ("Name", required(operator_name().prop_map(|name| json!(name)).boxed())),
        ("Objective", required(number_of(&[0.05, 0.2, 1.0, 2.0]))),
        ("Deadline", required(number_of(&[0.2, 0.5, 2.0, 8.0]))),
        ("Credit", optional(number_of(&[0.0, 0.5, 3.0, 40.0]))),
        ("Repeat", required(choice(&["retryable", "dedup", "fragile"]))),
        ("DedupScope", optional(choice(&["all", "zone", "cell"]))),
        ("Window", optional(number_of(&[0.0, 0.1, 5.0]))),
        ("LateWorth", optional(number_of(&[0.0, 0.15]))),
        ("KeepOrder", optional(flag())),
        ("Stream", optional(Just(Value::Bool(false)).boxed())),
    ])
}

/// Settings of a plan. The limit (`Cap`) may be below one unit per second; the burst (`MostAtOnce`) is at least the largest
/// request for each initiator of a volume.
fn plan() -> BoxedStrategy<Value> {
    object(vec![
        ("Name", required(operator_name().prop_map(|name| json!(name)).boxed())),
        ("Cap", optional(number_of(&[0.0, 0.5, 20.0, 1000.0]))),
        ("CapSlack", optional(number_of(&[0.0, 4.0]))),
        ("MostAtOnce", required(number_of(&[24.0, 100.0]))),
        ("Nominal", optional(number_of(&[0.0, 0.4, 50.0]))),
        ("Guaranteed", optional(number_of(&[0.0, 0.3, 400.0]))),
        ("Proportion", optional(number_of(&[0.0, 1.0, 9.0]))),
        ("WorthFactor", optional(number_of(&[0.2, 1.0, 3.0]))),
    ])
}

/// Keeps the last value of each name, because names have to be unique.
fn unique_by_name(values: Vec<Value>) -> Vec<Value> {
    let by_name: BTreeMap<String, Value> =
        values.into_iter().map(|value| (value["Name"].to_string(), value)).collect();
    by_name.into_values().collect()
}

/// The `settings` part of a configuration.
fn settings() -> BoxedStrategy<Value> {
    let classes = proptest::collection::vec(class(), 1..5).prop_map(|all| Value::Array(unique_by_name(all)));
    let plans = proptest::collection::vec(plan(), 0..4).prop_map(|all| Value::Array(unique_by_name(all)));
    object(vec![
        ("Balancers", required(select(vec![1, 3, 30, 1024]).prop_map(|count| json!(count)).boxed())),
        ("RegistryMode", optional(choice(&["pushed", "on_request"]))),
        ("Grades", required(classes.boxed())),
        ("Policies", optional(plans)),
        (
            "FamilyInfo",
            optional(object(vec![
                ("MeanUnits", optional(number_of(&[0.5, 2.0, 12.0]))),
                ("MostUnits", optional(number_of(&[6.0, 100.0]))),
                (
                    "NShards",
                    optional(number_of(&[4.0, 40.0]).prop_map(|count| json!(count.as_f64().unwrap() as i64))),
                ),
                ("YoungLimit", optional(number_of(&[0.0, 1.0, 200.0]))),
                ("CountsOthers", optional(flag())),
                ("Metering", optional(number_of(&[0.0, 2.0]))),
            ])),
        ),
        (
            "Ceilings",
            required(object(vec![
                ("MayCancel", optional(flag())),
                ("MayDuplicate", optional(flag())),
                ("MaxAttempts", optional(select(vec![1, 2, 6]).prop_map(|count| json!(count)).boxed())),
                ("RetryAfter", optional(flag())),
                ("MaxRetryAfter", optional(number_of(&[0.0, 0.3, 2.0]))),
                ("ConnIdle", required(number_of(&[0.5, 3.0, 60.0]))),
                ("ConnectTimeout", required(number_of(&[0.1, 0.5]))),
            ])),
        ),
        (
            "Rules",
            optional(object(vec![
                ("DrainGrace", optional(number_of(&[0.0, 0.3, 5.0]))),
                ("FallMultiple", optional(number_of(&[1.0, 4.0]))),
                ("OverloadFor", optional(number_of(&[0.0, 0.5, 3.0]))),
                ("StartCapacity", optional(number_of(&[0.0, 0.1, 1.0]))),
                ("Cold", optional(number_of(&[0.0, 5.0, 20.0]))),
                ("KeyQuiet", optional(number_of(&[0.0, 0.2]))),
                ("LookBack", optional(number_of(&[0.0, 5.0]))),
                ("ResendRatio", optional(number_of(&[0.0, 0.2]))),
                ("SpareAttempts", optional(number_of(&[0.0, 3.0]))),
            ])),
        ),
        ("Reporting", optional(object(vec![("Fields", optional(Just(json!(["lat_ms", "busy"])).boxed()))]))),
    ])
}

/// A string field of a JSON object.
fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().expect("a name")
}

/// Starts the gateway with these settings, and sends a request of one unit for every class with every plan until it is
/// served.
fn check_settings(settings: &Value, sockets: usize, memory_mb: usize) -> Result<(), TestCaseError> {
    let node = Node::start(answer_ok);
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let gateway = Gateway::start(&list, discovery.address, |config| {
        config["settings"] = settings.clone();
        config["limits"] = json!({"memory_mb": memory_mb, "sockets": sockets});
    });
    let default_plan = [json!({"Name": "none", "Cap": 0.0, "MostAtOnce": 0.0})];
    let plans = settings["Policies"].as_array().filter(|plans| !plans.is_empty());
    let (mut served_units, mut request_count) = (BTreeMap::new(), 0);
    for (volume, plan) in plans.map_or(&default_plan[..], Vec::as_slice).iter().enumerate() {
        for class in settings["Grades"].as_array().expect("classes") {
            let began = Instant::now();
            loop {
                request_count += 1;
                let id = format!("id{request_count}");
                let timeout_ms = (class["Deadline"].as_f64().expect("a time") * 1e3) as u64;
                let request = format!(
                    "PUT /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Priority-Class: {}\r\n\
                     X-Storage-Class: {}\r\nCookie: extent=7f3a9c21e0b4d655\r\nX-Timeout: {timeout_ms}m\r\n\
                     Content-Length: 4\r\nX-Extent: volume={volume:016x},units=1,shard=3,hosts=1\r\n\r\nbody",
                    text(class, "Name"),
                    text(plan, "Name"),
                );
                let (status, head, body) = exchange(&mut gateway.connect(), &request);
                if status == 200 {
                    prop_assert_eq!(&body, &id);
                    *served_units.entry(volume).or_insert(0.0) += 1.0;
                    break;
                }
                // Limits start empty, and a busy machine may miss the shortest deadlines, so a refusal (503) is
                // allowed and the request is sent again; any other status fails.
                prop_assert_eq!(status, 503, "{}", head);
                prop_assert!(
                    began.elapsed() < Duration::from_secs(20),
                    "{} is not served",
                    text(class, "Name")
                );
            }
        }
    }
    let received_ids = node
        .request_heads
        .lock()
        .expect("no panic")
        .iter()
        .map(|head| request_id(head).to_string())
        .collect::<Vec<_>>();
    let mut distinct_ids = received_ids.clone();
    distinct_ids.sort();
    distinct_ids.dedup();
    prop_assert_eq!(distinct_ids.len(), received_ids.len(), "a request was sent to the node twice");
    for (volume, plan) in plans.into_iter().flatten().enumerate() {
        let (rate, burst) = (plan["Cap"].as_f64().unwrap_or(0.0), plan["MostAtOnce"].as_f64().unwrap_or(0.0));
        prop_assert!(rate == 0.0 || served_units[&volume] <= burst, "{} over its limit", text(plan, "Name"));
    }
    // The process still answers: a panic would have ended it.
    prop_assert_eq!(exchange(&mut gateway.connect(), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").0, 200);
    Ok(())
}

#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[test_case(14)]
#[test_case(15)]
fn random_settings_are_served(seed: u64) {
    let config = ProptestConfig {
        cases: CASES_PER_SEED,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: 20,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let limits = (select(vec![64, 256, 1024]), select(vec![16, 192]));
    let result = TestRunner::new(config).run(&(settings(), limits), |(settings, (sockets, memory_mb))| {
        check_settings(&settings, sockets, memory_mb)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
