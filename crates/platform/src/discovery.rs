//! Discovery: fetches the whole node list, then watches its changes, which arrive as one JSON object per line.

use std::future::{poll_fn, Future};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quaypath::scheduler::NODE_BYTES;
use quaypath::types::ListedNode;
use quaypath_http::{ResponseDecoder, ResponsePart};
use quaypath_initiator::event_loop::{read_some, run_turn, with_timeout, Notify, Received};
use quaypath_initiator::polls::yield_if_spent;
use serde::Deserialize;
use thiserror::Error;
use tracing::{debug, info, warn};

use crate::instance::{SharedInstance, WeakInstance};
use crate::json_stream::{JsonSplitter, StreamPart};
use crate::memory::{allocated_bytes, ControlMemory, MemoryAccount, MemoryKind, MemoryPermit};
use crate::node_table::NODE_ENTRY_BYTES;
use crate::Config;
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

/// Memory for each byte of a list's text while it is decoded and applied, as it is expected before the text is there, bytes.
const EXPECTED_BYTES_PER_BYTE: usize = 4;
/// Length of a list for which there is memory where none is known at the start, bytes.
const MIN_EXPECTED_LIST_BYTES: usize = 16 << 10;
/// The memory that a call takes beside the text that it receives: its task, its connection and its read buffer, bytes.
const CALL_BYTES: usize = (8 << 10) + MAX_READ_BYTES;
/// Steps in which the buffer for a list's text grows, bytes.
const TEXT_GROWTH_BYTES: usize = 64 << 10;
/// The memory of an entry of a list beside its text, while the list is decoded and applied: the entry in a vector that grows
/// by doubling, its three texts, and the entry for the core, bytes.
const ENTRY_BYTES: usize = 2 * size_of::<Endpoint>() + 4 * ALLOCATION_BYTES + size_of::<ListedNode>();
const ALLOCATION_BYTES: usize = 32;

/// The reason why a list is not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ListError {
    #[error("it cannot be parsed: {0}")]
    Unparsable(String),
    #[error("the version of a change is older than that of the known list")]
    Outdated,
    #[error("there is no memory for the list")]
    NoMemory,
    #[error("a newer discovery address has replaced this one")]
    Replaced,
}

impl From<ListError> for io::Error {
    fn from(error: ListError) -> Self {
        invalid_data(error)
    }
}

/// The memory for the nodes and the list of a configuration, and for what discovery and a new configuration send.
pub fn control_memory(config: &Config) -> ControlMemory {
    let list_bytes = config.known_bytes.max(MIN_EXPECTED_LIST_BYTES);
    ControlMemory {
        nodes: config.initial_list.endpoints.len() * (NODE_BYTES + NODE_ENTRY_BYTES),
        lists: EXPECTED_BYTES_PER_BYTE * list_bytes + MAX_CALLS * CALL_BYTES,
        configuration: config.reload_memory_bytes(),
    }
}

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

/// A list that was received, and its memory.
struct ReceivedList {
    listing: Listing,
    _memory: MemoryPermit,
}

/// The text of a list that is being received, and its memory.
struct ListText {
    text: Vec<u8>,
    memory: MemoryPermit,
}

impl ListText {
    fn new(account: &MemoryAccount) -> Self {
        ListText { text: Vec::new(), memory: account.hold(MemoryKind::Discovery, 0) }
    }

    /// A text that was received by other means.
    fn from_text(account: &MemoryAccount, text: Vec<u8>) -> Result<Self, ListError> {
        let memory = account.try_hold(MemoryKind::Discovery, allocated_bytes(text.capacity()));
        Ok(ListText { text, memory: memory.ok_or(ListError::NoMemory)? })
    }

    /// Appends a part of the text, of which `remaining` bytes are announced to follow.
    fn push(&mut self, part: &[u8], remaining: usize) -> Result<(), ListError> {
        if self.text.capacity() - self.text.len() < part.len() {
            // A vector that grows by itself may allocate up to twice the length.
            let growth = part.len().max(TEXT_GROWTH_BYTES.min(part.len() + remaining));
            let capacity = self.text.len() + growth;
            if !self.memory.try_resize(allocated_bytes(capacity)) {
                let account = self.memory.account();
                account.raise_list_reserve(EXPECTED_BYTES_PER_BYTE * (capacity + remaining));
                return Err(ListError::NoMemory);
            }
            self.text.reserve_exact(growth);
        }
        self.text.extend_from_slice(part);
        Ok(())
    }

    /// Decodes the text.
    fn decode(mut self) -> Result<ReceivedList, ListError> {
        // Each entry begins with a bracket.
        let entry_count = self.text.iter().filter(|byte| **byte == b'{').count();
        let needed = allocated_bytes(self.text.capacity()) + self.text.len() + entry_count * ENTRY_BYTES;
        if !self.memory.try_resize(needed) {
            self.memory.account().raise_list_reserve(2 * needed);
            return Err(ListError::NoMemory);
        }
        let listing = serde_json::from_slice(&self.text);
        let listing = listing.map_err(|error| ListError::Unparsable(error.to_string()))?;
        Ok(ReceivedList { listing, _memory: self.memory })
    }
}

/// The addresses of discovery in use, by number: 0 for the first configuration, and one more for each one reloaded since.
#[derive(Default)]
pub struct DiscoverySources {
    /// The address that sent the current list.
    of_list: u64,
    /// Number of addresses so far.
    count: u64,
    /// The addresses that are watched, and what tells each that a newer one has replaced it.
    watched: Vec<(u64, Rc<Notify>)>,
}

impl DiscoverySources {
    /// Whether an address is used: the newest one, and until that has sent its list the one that sent the current list.
    fn uses(&self, source: u64) -> bool {
        source == self.of_list || source + 1 == self.count
    }

    /// Adds a newer address.
    fn add(&mut self) -> (u64, Rc<Notify>) {
        let (source, replaced) = (self.count, Rc::<Notify>::default());
        self.count += 1;
        self.watched.push((source, replaced.clone()));
        self.end_unused();
        (source, replaced)
    }

    /// Records that an address has sent its list.
    fn list_received(&mut self, source: u64) {
        self.of_list = source;
        self.end_unused();
    }

    fn end_unused(&mut self) {
        let (used, replaced): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.watched).into_iter().partition(|(source, _)| self.uses(*source));
        self.watched = used;
        replaced.iter().for_each(|(_, replaced)| replaced.notify());
    }
}

/// Keeps the node list up to date from a new discovery address, until a newer one has replaced it. The previous address
/// stays in use until the new one has sent its whole list.
pub fn watch_loop(instance: &SharedInstance, address: SocketAddr) -> impl Future<Output = ()> + 'static {
    let (source, replaced) = instance.borrow_mut().discovery_sources.add();
    let instance = Rc::downgrade(instance);
    async move {
        let is_replaced = async {
            replaced.wait().await;
            info!(%address, "a newer discovery address has replaced this one; it is no longer watched");
        };
        watch_sessions(&instance, address, source).or(is_replaced).await;
    }
}

async fn watch_sessions(instance: &WeakInstance, address: SocketAddr, source: u64) {
    loop {
        let grace = instance.upgrade().map(|this| this.borrow().config.transport.drain_grace);
        let Some(call_interval) =
            grace.map(|grace| (grace * CALL_INTERVAL_SHARE).clamp(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL))
        else {
            return;
        };
        let next_session = Timer::after(Duration::from_secs_f64(call_interval));
        let result = watch_session(instance, address, source, call_interval).await;
        let Some(this) = instance.upgrade() else { return };
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
    instance: &WeakInstance, address: SocketAddr, call_interval: f64,
) -> io::Result<ReceivedList> {
    let mut calls: Vec<Pin<Box<dyn Future<Output = io::Result<ReceivedList>>>>> = Vec::new();
    loop {
        if calls.len() >= MAX_CALLS {
            // The oldest call may be receiving a long list, so it continues until its own timeout.
            drop(calls.remove(1));
        }
        let account = account_of(instance)?;
        calls.push(Box::pin(async move { call_for_list(address, &account).await }));
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

fn account_of(instance: &WeakInstance) -> io::Result<MemoryAccount> {
    let this = instance.upgrade().ok_or(io::ErrorKind::NotConnected)?;
    let account = this.borrow().memory.clone();
    Ok(account)
}

/// Fetches the whole list by one call.
async fn call_for_list(address: SocketAddr, account: &MemoryAccount) -> io::Result<ReceivedList> {
    let mut response = call(address, "/discovery/hosts", true, MAX_LIST_BYTES, account).await?;
    let text = with_timeout(LIST_TIMEOUT, async {
        let mut text = ListText::new(account);
        while let ResponsePart::Body(part) = response.next_part().await? {
            text.push(&part, response.decoder.announced_body().unwrap_or(0))?;
        }
        Ok(text)
    });
    let mut received = text.await?.decode()?;
    received.listing.snapshot = true;
    Ok(received)
}

/// Sends a request and receives the head of the response.
async fn call(
    address: SocketAddr, path: &str, close: bool, max_body: usize, account: &MemoryAccount,
) -> io::Result<DiscoveryResponse> {
    with_timeout(CALL_TIMEOUT, async {
        let memory = account.try_hold(MemoryKind::Discovery, CALL_BYTES).ok_or(ListError::NoMemory)?;
        let stream = Async::<TcpStream>::connect(address).await?;
        let close_header = if close { "Connection: close\r\n" } else { "" };
        let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n{close_header}\r\n");
        let mut writer = &stream;
        writer.write_all(text.as_bytes()).await?;
        let decoder = ResponseDecoder::new(max_body);
        let mut response = DiscoveryResponse { stream, decoder, _memory: memory };
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
    _memory: MemoryPermit,
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
    let index = {
        let received = fetch_list(instance, address, call_interval).await?;
        apply(instance, source, &received.listing)?;
        received.listing.index
    };
    let path = format!("/discovery/hosts?watch=1&from={index}");
    let account = account_of(instance)?;
    let mut response = call(address, &path, false, usize::MAX, &account).await?;
    let mut splitter = JsonSplitter::new(MAX_LIST_BYTES);
    let mut memory = account.hold(MemoryKind::Discovery, 0);
    loop {
        // Single bytes do not count as a sign of life: a watch that sends bytes but completes no line is silent.
        let parts = with_timeout(WATCH_TIMEOUT, async {
            loop {
                let ResponsePart::Body(bytes) = response.next_part().await? else { return Ok(None) };
                let parts = splitter.feed(&bytes).map_err(|error| unusable(&error))?;
                if !memory.try_resize(allocated_bytes(splitter.memory_bytes())) {
                    account.raise_list_reserve(EXPECTED_BYTES_PER_BYTE * splitter.memory_bytes());
                    return Err(unusable(&ListError::NoMemory));
                }
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
            let received = ListText::from_text(&account, text).and_then(ListText::decode);
            let received = received.map_err(|error| unusable(&error))?;
            apply(instance, source, &received.listing)?;
        }
    }
}

/// Logs that the data of a watch cannot be used, and returns the error that ends it.
fn unusable(error: &dyn std::error::Error) -> io::Error {
    warn!(error = error.to_string(), "the data of a discovery watch cannot be used; fetching the whole list");
    invalid_data(error)
}

/// Passes a listing to the instance if this address is still in use; a newer address comes into use with its first list.
fn apply(instance: &WeakInstance, source: u64, listing: &Listing) -> Result<(), ListError> {
    let this: SharedInstance = instance.upgrade().ok_or(ListError::Replaced)?;
    run_turn(&this, |this| {
        if !this.discovery_sources.uses(source) {
            return Err(ListError::Replaced);
        }
        this.update_list(listing)?;
        this.discovery_sources.list_received(source);
        Ok(())
    })
}
