//! Discovery: fetches the whole node list, then watches its changes, which arrive as one JSON object per line.

use std::future::{poll_fn, Future};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quaypath_http::{ResponseDecoder, ResponsePart};
use quaypath_initiator::event_loop::{read_some, run_turn, with_timeout, Received};
use quaypath_initiator::polls::yield_if_spent;
use serde::Deserialize;
use tracing::{debug, info, warn};

use crate::instance::{SharedInstance, WeakInstance};
use crate::json_stream::{JsonSplitter, StreamPart};
use crate::MAX_READ_BYTES;

/// Time for the connection of a call and the head of its response, seconds.
const CALL_TIMEOUT: f64 = 0.6;
/// Time for the body of a whole list, seconds.
const LIST_TIMEOUT: f64 = 1.5;
/// A watch that completes no object and no line for this long is replaced, seconds. Discovery sends a line at least every
/// 2 s. A change that a watch misses counts as reported to the gateway 6 s after the watch fell silent.
const WATCH_TIMEOUT: f64 = 2.6;
/// Until a list is received, a further call begins after each interval, whether the earlier calls hang, were refused or
/// failed. A change that discovery learns while it is down counts as reported as soon as it is back, and the gateway has to
/// leave a node that drains within the drain grace of the settings. The interval is therefore a share of that grace, within
/// these bounds. The discovery agent answers at once, and calls cost it nothing. Seconds.
const MAX_CALL_INTERVAL: f64 = 0.2;
const MIN_CALL_INTERVAL: f64 = 0.05;
/// The call interval as a share of the drain grace.
const CALL_INTERVAL_SHARE: f64 = 0.25;
/// Largest number of concurrent calls to one address, as each uses a file descriptor.
const MAX_CALLS: usize = 4;
/// Longest list, and longest object of a watch, bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The status of a node in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    InService,
    /// The node drains.
    Terminating,
    /// The node was removed.
    Terminated,
}

/// A node in discovery's list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Endpoint {
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Name of the zone; none where the site has no zones.
    #[serde(default)]
    pub zone: Option<String>,
    /// Number of the block that the node holds.
    #[serde(default)]
    pub group: i64,
    pub status: Status,
    /// The node's size relative to other nodes; 0 if unknown.
    #[serde(default)]
    pub weight: f64,
    /// When the node started, milliseconds since 1970; 0 for a start long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// The whole node list, or changes to it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Listing {
    /// The version of the list.
    pub index: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

/// Keeps the node list up to date from one discovery address, until another address has replaced it. `source` is the number
/// of the address: 0 for the first configuration, and one more for each configuration reloaded since.
pub async fn watch_loop(instance: WeakInstance, address: SocketAddr, source: u64) {
    loop {
        let grace = instance.upgrade().map(|this| this.borrow().config.transport.drain_grace);
        let Some(call_interval) =
            grace.map(|grace| (grace * CALL_INTERVAL_SHARE).clamp(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL))
        else {
            return;
        };
        let next_session = Timer::after(Duration::from_secs_f64(call_interval));
        let result = watch_session(&instance, address, source, call_interval).await;
        let Some(this) = instance.upgrade() else { return };
        if !this.borrow().uses_source(source) {
            return info!(%address, "a newer discovery address has replaced this one; it is no longer watched");
        }
        match result {
            Ok(()) => debug!(%address, "discovery ended a watch; fetching the whole list"),
            Err(error) => debug!(%address, %error, "discovery"),
        }
        this.borrow_mut().counts.discovery_lost += 1;
        drop(this);
        next_session.await;
    }
}

/// Fetches the whole list by concurrent calls and returns the first one received.
async fn fetch_list(
    instance: &WeakInstance, address: SocketAddr, source: u64, call_interval: f64,
) -> io::Result<Listing> {
    let mut calls: Vec<Pin<Box<dyn Future<Output = io::Result<Listing>>>>> = Vec::new();
    loop {
        if instance.upgrade().is_none_or(|this| !this.borrow().uses_source(source)) {
            return Err(invalid_data("replaced"));
        }
        if calls.len() >= MAX_CALLS {
            // The oldest call may be receiving a long list, so it continues until its own timeout.
            drop(calls.remove(1));
        }
        calls.push(Box::pin(call_for_list(address)));
        let first_list = poll_fn(|context| {
            let mut received = None;
            calls.retain_mut(|call| match call.as_mut().poll(context) {
                Poll::Pending => true,
                Poll::Ready(Ok(listing)) => {
                    received = Some(listing);
                    false
                }
                Poll::Ready(Err(error)) => {
                    debug!(%address, %error, "a call to discovery failed");
                    false
                }
            });
            received.map_or(Poll::Pending, |listing| Poll::Ready(Some(listing)))
        });
        let next_call = async {
            Timer::after(Duration::from_secs_f64(call_interval)).await;
            None
        };
        if let Some(listing) = first_list.or(next_call).await {
            return Ok(listing);
        }
        if let Some(this) = instance.upgrade() {
            this.borrow_mut().counts.discovery_lost += 1;
        }
    }
}

/// Fetches the whole list by one call.
async fn call_for_list(address: SocketAddr) -> io::Result<Listing> {
    let mut response = call(address, "/discovery/hosts", true, MAX_LIST_BYTES).await?;
    let text = with_timeout(LIST_TIMEOUT, async {
        let mut text = Vec::new();
        while let ResponsePart::Body(bytes) = response.next_part().await? {
            text.extend(bytes);
        }
        Ok(text)
    });
    let mut listing: Listing = serde_json::from_slice(&text.await?).map_err(invalid_data)?;
    listing.snapshot = true;
    Ok(listing)
}

/// Sends a request and receives the head of the response.
async fn call(
    address: SocketAddr, path: &str, close: bool, max_body: usize,
) -> io::Result<DiscoveryResponse> {
    with_timeout(CALL_TIMEOUT, async {
        let stream = Async::<TcpStream>::connect(address).await?;
        let close_header = if close { "Connection: close\r\n" } else { "" };
        let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n{close_header}\r\n");
        let mut writer = &stream;
        writer.write_all(text.as_bytes()).await?;
        let mut response = DiscoveryResponse { stream, decoder: ResponseDecoder::new(max_body) };
        match response.next_part().await? {
            ResponsePart::Head(head) if head.status == 200 => Ok(response),
            ResponsePart::Head(head) => Err(invalid_data(format!("status {}", head.status))),
            _ => Err(invalid_data("the response has no head")),
        }
    })
    .await
}

fn invalid_data(message: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_string())
}

/// A response of discovery that is being received. Its connection is not used for another request.
struct DiscoveryResponse {
    stream: Async<TcpStream>,
    decoder: ResponseDecoder,
}

impl DiscoveryResponse {
    async fn next_part(&mut self) -> io::Result<ResponsePart> {
        loop {
            if let Some(part) = self.decoder.poll().map_err(invalid_data)? {
                return Ok(part);
            }
            let decoder = &mut self.decoder;
            if let Received::End =
                read_some(&self.stream, MAX_READ_BYTES, |bytes| decoder.feed(bytes)).await?
            {
                return self.decoder.finish().ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Fetches the whole list, then watches it until the watch ends or falls silent. Each session starts with the whole list:
/// the known one is from before the session or from another address, and the changes at the start of a watch do not say
/// since when they apply.
async fn watch_session(
    instance: &WeakInstance, address: SocketAddr, source: u64, call_interval: f64,
) -> io::Result<()> {
    let listing = fetch_list(instance, address, source, call_interval).await?;
    apply(instance, source, &listing)?;
    let path = format!("/discovery/hosts?watch=1&from={}", listing.index);
    let mut response = call(address, &path, false, usize::MAX).await?;
    let mut splitter = JsonSplitter::new(MAX_LIST_BYTES);
    loop {
        // Single bytes do not count as a sign of life: a watch that sends bytes but completes no line is silent.
        let parts = with_timeout(WATCH_TIMEOUT, async {
            loop {
                let ResponsePart::Body(bytes) = response.next_part().await? else { return Ok(None) };
                let parts = splitter.feed(&bytes).map_err(unparsable)?;
                if !parts.is_empty() {
                    return Ok(Some(parts));
                }
            }
        });
        let Some(parts) = parts.await? else { return Ok(()) };
        for part in parts {
            // One read may contain thousands of objects.
            yield_if_spent().await;
            let StreamPart::Object(text) = part else { continue };
            let listing: Listing = serde_json::from_slice(&text).map_err(unparsable)?;
            if !apply(instance, source, &listing)? {
                return Err(invalid_data("the version of a change is older than that of the known list"));
            }
        }
    }
}

fn unparsable(error: impl ToString) -> io::Error {
    let error = error.to_string();
    warn!(error, "the data of a discovery watch cannot be parsed; fetching the whole list");
    invalid_data(error)
}

/// Passes a listing to the instance if this address is still in use; a newer address comes into use with its first list.
/// Returns false if the listing is older than the known list.
fn apply(instance: &WeakInstance, source: u64, listing: &Listing) -> io::Result<bool> {
    let this: SharedInstance = instance.upgrade().ok_or(io::ErrorKind::NotConnected)?;
    if !this.borrow().uses_source(source) {
        return Err(invalid_data("replaced"));
    }
    Ok(run_turn(&this, |this| {
        this.list_source = source;
        this.update_list(listing)
    }))
}
