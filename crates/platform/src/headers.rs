//! The headers that the platform specification defines: decoding of a client's transaction request, encoding of the requests
//! for its shots, and decoding of the report in a node's response.

use quaypath_http::{Headers, Request};

use crate::config::Config;

/// The status and the text of the error response for a request that is rejected.
type Rejection = (u16, &'static str);

/// Longest request id, bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;
/// Headers that are not forwarded to nodes: those of one connection only (RFC 9110, 7.6.1), and those that are written anew
/// for each shot.
const NOT_FORWARDED: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "x-timeout",
];

/// A transaction as its client requested it.
#[derive(Debug, PartialEq)]
pub struct TransactionRequest {
    pub id: String,
    /// Index of the band in the settings.
    pub band: usize,
    /// Index of the plan in the settings; `None` if the settings define no plans.
    pub plan: Option<usize>,
    /// The extent, 16 hex digits.
    pub extent: String,
    /// The volume, 16 hex digits.
    pub volume: String,
    pub units: f64,
    /// The block; `None` if the client names none.
    pub block: Option<i64>,
    /// Number of initiators that use the volume, at most the number in the settings.
    pub initiators: f64,
    /// Time for the transaction from when the client sent it, seconds; at most the deadline of its band over all tries.
    pub budget: f64,
}

fn is_hex_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Parses digits with at most one decimal point; a sign, an exponent, infinity and the like are not accepted.
fn parse_decimal(text: &str) -> Option<f64> {
    let valid = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let starts_with_digit = text.bytes().next().is_some_and(|byte| byte.is_ascii_digit());
    (valid && starts_with_digit && text.len() <= 18).then(|| text.parse().ok()).flatten()
}

/// Parses a time in milliseconds (`480m`) or microseconds (`480000u`) and returns it in seconds.
pub fn parse_timeout(text: &str) -> Option<f64> {
    let (number, scale) = match text.as_bytes().last()? {
        b'm' => (&text[..text.len() - 1], 1e-3),
        b'u' => (&text[..text.len() - 1], 1e-6),
        _ => return None,
    };
    parse_decimal(number).map(|number| number * scale).filter(|time| *time > 0.0)
}

/// Parses an X-Extent header, such as `volume=00000003b4d60021,units=2,shard=5,hosts=3`, into volume, units, block and number
/// of initiators. Each of them must be there exactly once.
fn parse_extent_header(text: &str) -> Option<(&str, f64, i64, f64)> {
    let (mut volume, mut units, mut block, mut initiators) = (None, None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let repeated = match name {
            "volume" => volume.replace(value).is_some(),
            "units" => units.replace(parse_decimal(value)?).is_some(),
            "shard" => block.replace(value.parse::<i64>().ok()?).is_some(),
            "hosts" => initiators.replace(parse_decimal(value)?).is_some(),
            _ => false,
        };
        if repeated {
            return None;
        }
    }
    Some((volume?, units?, block?, initiators?))
}

fn cookie<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let pairs = headers.single("cookie")?.split(';');
    pairs
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(cookie_name, _)| *cookie_name == name)
        .map(|(_, value)| value)
}

/// Decodes the headers of a transaction request; a request with any invalid header is rejected.
pub fn decode_transaction(request: &Request, config: &Config) -> Result<TransactionRequest, Rejection> {
    let headers = &request.headers;
    if !matches!(request.method.as_str(), "GET" | "PUT") {
        return Err((501, "a read is a GET and a write a PUT"));
    }
    let valid_id = |id: &&str| {
        (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
    };
    let id = headers.single("x-request-id").filter(valid_id).ok_or((400, "not one X-Request-ID"))?;
    let index_of = |header: &str, names: &[String]| {
        let value = headers.single(header)?;
        names.iter().position(|name| name == value)
    };
    let band =
        index_of("x-priority-class", &config.names.bands).ok_or((400, "X-Priority-Class is unknown"))?;
    let plan = index_of("x-storage-class", &config.names.plans);
    if plan.is_none() && !config.names.plans.is_empty() {
        return Err((400, "X-Storage-Class is unknown"));
    }
    let budget =
        headers.single("x-timeout").and_then(parse_timeout).ok_or((400, "X-Timeout is not a time"))?;
    let extent = cookie(headers, "extent").filter(|extent| is_hex_id(extent));
    let extent = extent.ok_or((400, "the cookie extent is not 16 hex digits"))?;
    let (volume, units, block, initiators) =
        headers.single("x-extent").and_then(parse_extent_header).ok_or((400, "X-Extent cannot be read"))?;
    if !is_hex_id(volume) || units <= 0.0 || units > config.transport.max_units || initiators < 1.0 {
        return Err((400, "X-Extent: volume, units or hosts out of range"));
    }
    if !(-1..config.transport.block_count).contains(&block) {
        return Err((400, "X-Extent: no such shard"));
    }
    Ok(TransactionRequest {
        id: id.to_string(),
        band,
        plan,
        extent: extent.to_string(),
        volume: volume.to_string(),
        units,
        block: (block >= 0).then_some(block),
        initiators: initiators.min(config.core.initiators.max(1.0)),
        budget: budget.min(config.transport.band_deadlines[band]),
    })
}

/// The head of the requests that are sent to nodes, up to the headers that are written for each shot.
pub fn encode_forwarded_head(request: &Request) -> Vec<u8> {
    let fields = request.headers.iter().map(|(name, value)| name.len() + value.len() + ": \r\n".len());
    let request_line_bytes = request.method.len() + request.target.len() + "  HTTP/1.1\r\n".len();
    // A vector that grows step by step may allocate up to twice the length.
    let mut head = Vec::with_capacity(request_line_bytes + fields.sum::<usize>());
    head.extend_from_slice(format!("{} {} HTTP/1.1\r\n", request.method, request.target).as_bytes());
    for (name, value) in request.headers.iter() {
        let not_forwarded = NOT_FORWARDED.iter().any(|header| name.eq_ignore_ascii_case(header));
        let always_forwarded = name.eq_ignore_ascii_case("x-request-id") || name.eq_ignore_ascii_case("host");
        if not_forwarded || (!always_forwarded && request.headers.contains_token("connection", name)) {
            continue;
        }
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value);
        head.extend_from_slice(b"\r\n");
    }
    head
}

/// The part of a shot's request between the forwarded head and the body: the headers that are written anew for each shot,
/// and the end of the head. `timeout` is how long the gateway waits for the response, seconds.
pub fn encode_shot_headers(head: &[u8], body: &[u8], timeout: f64) -> String {
    let timeout = (timeout.max(0.0) * 1e6).ceil().max(1.0);
    if !body.is_empty() || head.starts_with(b"PUT") {
        format!("X-Timeout: {timeout}u\r\nContent-Length: {}\r\n\r\n", body.len())
    } else {
        format!("X-Timeout: {timeout}u\r\n\r\n")
    }
}

/// What the headers of a node's response report. A header that cannot be parsed does not affect the other one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeReport {
    /// Units of the same volume that the node served for other initiators.
    pub others_units: f64,
    /// The load report in the order of the settings; NaN for a value that is missing.
    pub load: Vec<f64>,
}

/// Decodes the report headers of a response; `fields` are the names of the load values in the settings.
pub fn decode_node_report(headers: &Headers, fields: &[String]) -> NodeReport {
    let others_units = headers.single("x-delta").and_then(parse_decimal).unwrap_or(0.0);
    let load_text = headers.single("x-server-load").and_then(|text| text.strip_prefix("TEXT"));
    let load = load_text.map_or(Vec::new(), |text| {
        let pairs: Vec<_> = text.split(',').filter_map(|pair| pair.trim().split_once('=')).collect();
        let pair_of = |field: &String| pairs.iter().find(|(name, _)| name == field);
        fields
            .iter()
            .map(|field| pair_of(field).and_then(|(_, value)| parse_decimal(value)).unwrap_or(f64::NAN))
            .collect()
    });
    NodeReport { others_units, load }
}
