//! The headers of a transaction, by the platform's page. An error is the status and the reason that its sender
//! is told.

use quaypath_http::{Headers, Request};

use crate::config::Config;

type Bad = (u16, &'static str);

/// Longest request id, bytes.
const MOST_ID: usize = 64;
/// Headers that are of one connection only (RFC 9110, 7.6.1), or that are written anew for each shot.
const OWN: [&str; 10] = [
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

/// A transaction as its client asked for it.
#[derive(Debug, PartialEq)]
pub struct Asked {
    pub id: String,
    pub band: usize,
    /// Absent where the settings know no plans.
    pub plan: Option<usize>,
    pub extent: String,
    pub volume: String,
    pub units: f64,
    pub block: Option<i64>,
    pub initiators: f64,
    /// Seconds from when the client sent it, and no more than its band's deadline over all tries.
    pub budget: f64,
}

fn hex(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Digits and at most one point: no sign, exponent, infinity or the like.
fn plain(text: &str) -> Option<f64> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let begins = text.bytes().next().is_some_and(|byte| byte.is_ascii_digit());
    (digits && begins && text.len() <= 18).then(|| text.parse().ok()).flatten()
}

/// `480m` or `480000u`, seconds.
pub fn timeout(text: &str) -> Option<f64> {
    let (number, scale) = match text.as_bytes().last()? {
        b'm' => (&text[..text.len() - 1], 1e-3),
        b'u' => (&text[..text.len() - 1], 1e-6),
        _ => return None,
    };
    plain(number).map(|number| number * scale).filter(|time| *time > 0.0)
}

/// `volume=00000003b4d60021,units=2,shard=5,hosts=3`, each once.
fn extras(text: &str) -> Option<(&str, f64, i64, f64)> {
    let (mut volume, mut units, mut shard, mut hosts) = (None, None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let again = match name {
            "volume" => volume.replace(value).is_some(),
            "units" => units.replace(plain(value)?).is_some(),
            "shard" => shard.replace(value.parse::<i64>().ok()?).is_some(),
            "hosts" => hosts.replace(plain(value)?).is_some(),
            _ => false,
        };
        if again {
            return None;
        }
    }
    Some((volume?, units?, shard?, hosts?))
}

fn cookie<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let pairs = headers.single("cookie")?.split(';');
    pairs
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

/// Reads a request's headers; nothing of it is kept where it cannot be read.
pub fn asked(request: &Request, config: &Config) -> Result<Asked, Bad> {
    let headers = &request.headers;
    if !matches!(request.method.as_str(), "GET" | "PUT") {
        return Err((501, "a read is a GET and a write a PUT"));
    }
    let printable =
        |id: &&str| (1..=MOST_ID).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic());
    let id = headers.single("x-request-id").filter(printable).ok_or((400, "not one X-Request-ID"))?;
    let named = |name: &str, of: &[String]| {
        let value = headers.single(name)?;
        of.iter().position(|known| known == value)
    };
    let band = named("x-priority-class", &config.names.bands).ok_or((400, "X-Priority-Class is unknown"))?;
    let plan = named("x-storage-class", &config.names.plans);
    if plan.is_none() && !config.names.plans.is_empty() {
        return Err((400, "X-Storage-Class is unknown"));
    }
    let budget = headers.single("x-timeout").and_then(timeout).ok_or((400, "X-Timeout is not a time"))?;
    let extent = cookie(headers, "extent").filter(|extent| hex(extent));
    let extent = extent.ok_or((400, "the cookie extent is not 16 hex digits"))?;
    let (volume, units, shard, hosts) =
        headers.single("x-extent").and_then(extras).ok_or((400, "X-Extent cannot be read"))?;
    if !hex(volume) || units <= 0.0 || units > config.waits.most_units || hosts < 1.0 {
        return Err((400, "X-Extent: volume, units or hosts out of range"));
    }
    if !(-1..config.waits.blocks).contains(&shard) {
        return Err((400, "X-Extent: no such shard"));
    }
    Ok(Asked {
        id: id.to_string(),
        band,
        plan,
        extent: extent.to_string(),
        volume: volume.to_string(),
        units,
        block: (shard >= 0).then_some(shard),
        initiators: hosts.min(config.core.initiators.max(1.0)),
        budget: budget.min(config.waits.deadlines[band]),
    })
}

/// The head that goes to the nodes, up to the headers that are written for each shot.
pub fn onward(request: &Request) -> Vec<u8> {
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
    for (name, value) in &request.headers.0 {
        let own = OWN.iter().any(|own| name.eq_ignore_ascii_case(own));
        let id = name.eq_ignore_ascii_case("x-request-id") || name.eq_ignore_ascii_case("host");
        if own || (!id && request.headers.contains_token("connection", name)) {
            continue;
        }
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value);
        head.extend_from_slice(b"\r\n");
    }
    head
}

/// One shot's request: `wait` is how long we stay for the answer, seconds.
pub fn shot(head: &[u8], body: &[u8], wait: f64) -> Vec<u8> {
    let wait = (wait.max(0.0) * 1e6).ceil().max(1.0);
    let mut bytes = Vec::with_capacity(head.len() + body.len() + 64);
    bytes.extend_from_slice(head);
    bytes.extend_from_slice(format!("X-Timeout: {wait}u\r\n").as_bytes());
    if !body.is_empty() || head.starts_with(b"PUT") {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// What an answer tells beside itself; what cannot be read costs only itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// Units that the node served the volume for others.
    pub others: f64,
    /// The load report, in the settings' order; not a number where a value is not there.
    pub report: Vec<f64>,
}

pub fn told(headers: &Headers, fields: &[String]) -> Told {
    let others = headers.single("x-delta").and_then(plain).unwrap_or(0.0);
    let load = headers.single("x-server-load").and_then(|text| text.strip_prefix("TEXT"));
    let report = load.map_or(Vec::new(), |text| {
        let pairs: Vec<_> = text.split(',').filter_map(|pair| pair.trim().split_once('=')).collect();
        let value = |field: &String| pairs.iter().find(|(name, _)| name == field);
        fields
            .iter()
            .map(|field| value(field).and_then(|(_, value)| plain(value)).unwrap_or(f64::NAN))
            .collect()
    });
    Told { others, report }
}
