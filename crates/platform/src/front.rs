//! Client connections: one task for each connection, which serves one request at a time.

use std::cell::RefCell;
use std::future::pending;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quaypath_http::{
    encode_error_response, encode_response, encode_response_head, DecodeError, Request, RequestDecoder,
    MAX_HEAD_BYTES,
};
use quaypath_initiator::event_loop::{read_some, run_turn, try_read, with_timeout, Driver, Notify, Received};
use quaypath_initiator::polls::yield_if_spent;

use crate::client_table::{AddedClient, ConnectionState, LobbyPermit, SLOW_REQUEST_GRACE};
use crate::instance::{Instance, SharedInstance, ShutdownStage, WeakInstance};
use crate::memory::{allocated_bytes, MemoryAccount, MemoryKind, MemoryPermit, CONNECTION_BYTES};
use crate::{vectored, MAX_READ_BYTES};

/// A request must be complete within this time from the opening of the connection or from its own first byte, seconds.
const REQUEST_TIMEOUT: f64 = 2.5;
/// A connection that was used before is closed when it is idle for longer than this, seconds. The platform allows it from
/// 2 s on.
pub const IDLE_TIMEOUT: f64 = 15.0;
/// The idle timeout while more than half of the allowed client connections are open, seconds.
pub const IDLE_TIMEOUT_UNDER_PRESSURE: f64 = 2.0;
/// Time that a client may take to read a response, seconds.
const WRITE_TIMEOUT: f64 = 5.0;
/// Longest time during which bytes that still arrive are read and discarded before a connection is closed, seconds. With
/// unread bytes the close would send a reset, which may destroy an error response before the client reads it.
const LINGER_TIMEOUT: f64 = 1.0;
/// Largest number of bytes discarded before a connection is closed.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Longest time for refusing a client beyond the connection limit, seconds: descriptors are scarce then.
const REFUSAL_TIMEOUT: f64 = 0.2;
/// Largest number of bytes that are read behind a request before it is served: more than the kernel holds of a connection.
const MAX_BYTES_BEHIND_REQUEST: usize = 16 << 20;
/// Time in which bytes follow that the peer's kernel holds because there was no room for them here, seconds.
const FOLLOWING_BYTES_TIMEOUT: f64 = 0.005;
/// Time that a client in the lobby has for the first bytes of its request, seconds.
const LOBBY_TIMEOUT: f64 = 0.02;
/// Interval of the checks whether an evicted connection has left its place.
const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Status of the responses to requests for which there is no memory.
const NO_MEMORY: u16 = 503;
/// Interval of the readiness checks for a client that asked for `/up` while the gateway is not ready.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The final answer of a transaction.
pub enum FinalAnswer {
    /// Content type and body from the node, and the memory of the body.
    Settled(Option<String>, Vec<u8>, #[allow(dead_code)] MemoryPermit),
    /// Nothing has run, and the client may retry after this many seconds.
    Declined(f64),
    /// The transaction ended without a result; whether it has run is not known.
    Scrapped,
}

impl FinalAnswer {
    /// The head of the response to the client; with `Connection: close` if `close` is set.
    fn encode_head(&self, close: bool) -> Vec<u8> {
        let body_length = self.body().len();
        match self {
            FinalAnswer::Settled(content_type, ..) => {
                let content_type = content_type.as_deref().map(|content_type| ("Content-Type", content_type));
                encode_response_head(200, content_type.as_slice(), body_length, close)
            }
            FinalAnswer::Declined(retry_after) if *retry_after > 0.0 => {
                let retry_after = format!("{:.3}", (retry_after * 1e3).ceil() / 1e3);
                encode_response_head(503, &[("Retry-After", &retry_after)], body_length, close)
            }
            FinalAnswer::Declined(_) => encode_response_head(503, &[], body_length, close),
            FinalAnswer::Scrapped => encode_response_head(500, &[], body_length, close),
        }
    }

    /// The body of the response to the client.
    fn body(&self) -> &[u8] {
        match self {
            FinalAnswer::Settled(_, body, _) => body,
            FinalAnswer::Declined(_) => b"declined\n",
            FinalAnswer::Scrapped => b"scrapped\n",
        }
    }
}

/// Passes the final answer of a transaction to the task of its client connection.
#[derive(Default)]
pub struct AnswerSlot {
    answer: RefCell<Option<FinalAnswer>>,
    answered: Notify,
}

impl AnswerSlot {
    pub fn set(&self, answer: FinalAnswer) {
        *self.answer.borrow_mut() = Some(answer);
        self.answered.notify();
    }

    /// Waits for the answer and takes it.
    async fn wait(&self) -> FinalAnswer {
        loop {
            if let Some(answer) = self.answer.borrow_mut().take() {
                return answer;
            }
            self.answered.wait().await;
        }
    }
}

/// Serves one client connection until it ends. `decoder` has what was received before.
pub async fn serve(
    instance: WeakInstance, (number, close_request): AddedClient, stream: Rc<Async<TcpStream>>,
    decoder: RequestDecoder,
) {
    let Some((memory, now)) = instance.upgrade().map(|this| {
        let this = this.borrow();
        (this.memory.clone(), this.clock_now())
    }) else {
        return;
    };
    let mut task = ClientTask {
        instance,
        buffer_memory: memory.hold(MemoryKind::ReceiveBuffer, allocated_bytes(decoder.memory_bytes())),
        body_memory: memory.hold(MemoryKind::RequestBody, 0),
        _connection_memory: memory.hold(MemoryKind::Connection, CONNECTION_BYTES),
        memory,
        number,
        close_request,
        stream,
        last_received: if decoder.has_partial_request() { now } else { 0.0 },
        decoder,
        overrun: false,
        last_read_was_full: false,
    };
    let _ = task.run().await;
    if let Some(this) = task.instance.upgrade() {
        this.borrow_mut().clients.remove(number);
    }
}

/// The task of one client connection.
struct ClientTask {
    instance: WeakInstance,
    /// The number of the connection in the instance.
    number: u64,
    close_request: Rc<Notify>,
    stream: Rc<Async<TcpStream>>,
    memory: MemoryAccount,
    _connection_memory: MemoryPermit,
    decoder: RequestDecoder,
    /// Memory of the decoder.
    buffer_memory: MemoryPermit,
    /// Memory of the body that is being received.
    body_memory: MemoryPermit,
    /// Bytes of a further request were discarded, so that the connection is to be closed after the current answer.
    overrun: bool,
    /// When bytes of the current request were received last, seconds; 0 before the first. A request that was sent ahead counts
    /// from the one before it, so that no node is told more time than is left.
    last_received: f64,
    /// The last read returned as many bytes as it could, so that more may have arrived.
    last_read_was_full: bool,
}

/// What ended a wait for more bytes of a request.
enum WaitEnd {
    Bytes,
    PeerClosed,
    CloseRequested,
    TimedOut,
}

impl ClientTask {
    fn instance(&self) -> io::Result<SharedInstance> {
        self.instance.upgrade().ok_or(io::ErrorKind::NotConnected.into())
    }

    /// Sets the state of the connection and returns the current time.
    fn enter(&self, state: ConnectionState) -> io::Result<f64> {
        let this = self.instance()?;
        let mut this = this.borrow_mut();
        let now = this.clock_now();
        this.clients.set_state(self.number, state, now);
        Ok(now)
    }

    fn is_evicted(&self) -> io::Result<bool> {
        Ok(self.instance()?.borrow().clients.state(self.number) == Some(ConnectionState::Evicted))
    }

    /// Serves the requests of the connection one after the other until it ends.
    async fn run(&mut self) -> io::Result<()> {
        loop {
            let Some((request, memory)) = self.next_request().await? else { return Ok(()) };
            let close = request.close;
            let target = request.target.split('?').next().unwrap_or("");
            if request.method == "GET" && target == "/up" {
                self.enter(ConnectionState::Busy)?;
                while !self.instance()?.borrow().is_ready() {
                    Timer::after(READINESS_CHECK_INTERVAL).await;
                }
                self.write([&encode_response(200, &[], b"up\n", close)]).await?;
            } else if !self.serve_transaction(request, memory).await? {
                return Ok(());
            }
            if close || self.overrun {
                return self.close().await;
            }
            // One read may have received many requests.
            yield_if_spent().await;
        }
    }

    /// Receives the next request and reserves the memory for its body; `None` if the connection was closed.
    async fn next_request(&mut self) -> io::Result<Option<(Request, MemoryPermit)>> {
        let opened = self.enter(ConnectionState::Idle)?;
        let first = self.last_received == 0.0;
        let mut deadline = first.then_some(opened + REQUEST_TIMEOUT);
        let mut continue_sent = false;
        loop {
            match self.decode_request() {
                Ok(None) => {}
                Ok(Some(request)) => {
                    let no_memory = self.memory.hold(MemoryKind::RequestBody, 0);
                    return Ok(Some((request, std::mem::replace(&mut self.body_memory, no_memory))));
                }
                Err(error) => {
                    if error.status == NO_MEMORY {
                        self.evict_stalled_clients()?;
                    }
                    self.reject(error.status, error.reason).await?;
                    return Ok(None);
                }
            }
            if self.decoder.expects_continue() && !continue_sent {
                continue_sent = true;
                self.write([b"HTTP/1.1 100 Continue\r\n\r\n"]).await?;
            }
            if self.decoder.has_partial_request() {
                if self.instance()?.borrow().shutdown_stage == ShutdownStage::Terminating {
                    self.reject(503, "the process ends").await?;
                    return Ok(None);
                }
                let now = self.clock_now()?;
                let began = *deadline.get_or_insert(now + REQUEST_TIMEOUT) - REQUEST_TIMEOUT;
                if !self.is_evicted()? {
                    self.enter(ConnectionState::Reading)?;
                } else if now - began > SLOW_REQUEST_GRACE || self.nothing_arrived()? {
                    self.reject(408, "the rest of the request did not come in time").await?;
                    return Ok(None);
                } else {
                    self.instance()?.borrow_mut().clients.resume_request(self.number, began, now);
                    continue;
                }
            }
            match self.wait_for_bytes(deadline).await? {
                WaitEnd::Bytes => {}
                WaitEnd::PeerClosed => return Ok(None),
                WaitEnd::TimedOut if self.decoder.has_partial_request() => {
                    self.reject(408, "no whole request in time").await?;
                    return Ok(None);
                }
                // The connection is to be evicted, the process stops, or the connection was idle for too long. It is closed
                // unless bytes have just arrived.
                WaitEnd::TimedOut | WaitEnd::CloseRequested => {
                    if !self.decoder.has_partial_request() {
                        if self.nothing_arrived()? {
                            self.close().await?;
                            return Ok(None);
                        }
                        self.enter(ConnectionState::Idle)?;
                    }
                }
            }
        }
    }

    fn clock_now(&self) -> io::Result<f64> {
        Ok(self.instance()?.borrow().clock_now())
    }

    /// Lets go of clients whose requests do not arrive, because there is no memory for another one.
    fn evict_stalled_clients(&self) -> io::Result<()> {
        let this = self.instance()?;
        let mut this = this.borrow_mut();
        let now = this.clock_now();
        this.clients.evict_stalled(now);
        Ok(())
    }

    /// Decodes the next request and reserves the memory for it; `None` if it is not complete.
    fn decode_request(&mut self) -> Result<Option<Request>, DecodeError> {
        let mut decoded = self.decoder.poll()?;
        let body_capacity = match &mut decoded {
            Some(request) => {
                request.body.shrink_to_fit();
                request.body.capacity()
            }
            None => self.decoder.announced_body(),
        };
        if !self.body_memory.try_resize(allocated_bytes(body_capacity)) {
            return Err(DecodeError { status: NO_MEMORY, reason: "no room for a body" });
        }
        if decoded.is_some() {
            self.keep_received();
        } else if !self.buffer_memory.try_resize(allocated_bytes(self.decoder.memory_bytes())) {
            return Err(DecodeError { status: NO_MEMORY, reason: "no room for a head" });
        }
        Ok(decoded)
    }

    /// Keeps what was received behind the current request. If it is longer than a head, or there is no memory for it, it is
    /// discarded, and the connection is closed after the current answer.
    fn keep_received(&mut self) {
        self.overrun |= self.decoder.buffered() > MAX_HEAD_BYTES
            || !self.buffer_memory.try_resize(allocated_bytes(self.decoder.memory_bytes()));
        if self.overrun {
            self.decoder = RequestDecoder::default();
            self.buffer_memory.release();
        }
    }

    /// Reads without waiting before a connection is closed between two requests; false if bytes have arrived.
    fn nothing_arrived(&mut self) -> io::Result<bool> {
        let arrived = matches!(self.try_receive()?, Some(Received::Bytes(())));
        if arrived {
            self.last_received = self.clock_now()?;
        }
        Ok(!arrived)
    }

    /// Reads without waiting.
    fn try_receive(&mut self) -> io::Result<Option<Received<()>>> {
        let decoder = &mut self.decoder;
        let mut count = 0;
        let feed = |bytes: &[u8]| {
            count = bytes.len();
            decoder.feed(bytes);
        };
        let received = try_read(self.stream.get_ref(), MAX_READ_BYTES, feed)?;
        self.last_read_was_full = count == MAX_READ_BYTES;
        Ok(received)
    }

    /// Reads what has arrived behind the current request, so that the client's end is seen if it lies there. Returns false if
    /// the client has disconnected: nothing must be sent for it. Other tasks do not run between the last read and the return.
    async fn is_connected_behind_request(&mut self) -> io::Result<bool> {
        let mut remaining = MAX_BYTES_BEHIND_REQUEST;
        let mut more_may_follow = self.last_read_was_full;
        while remaining > 0 {
            match self.try_receive()? {
                Some(Received::End) => return Ok(false),
                Some(Received::Bytes(())) => {
                    more_may_follow |= self.last_read_was_full;
                    self.keep_received();
                    yield_if_spent().await;
                }
                None if more_may_follow => more_may_follow = self.is_readable_soon().await,
                None => break,
            }
            remaining -= MAX_READ_BYTES;
        }
        Ok(true)
    }

    /// Whether more arrives within the time in which a peer's kernel sends what it holds once there is room for it here.
    async fn is_readable_soon(&self) -> bool {
        let readable = async { self.stream.readable().await };
        with_timeout(FOLLOWING_BYTES_TIMEOUT, readable).await.is_ok()
    }

    /// Waits for more bytes, a close request or the deadline.
    async fn wait_for_bytes(&mut self, deadline: Option<f64>) -> io::Result<WaitEnd> {
        let now = self.instance()?.borrow().clock_now();
        let decoder = &mut self.decoder;
        let last_read_was_full = &mut self.last_read_was_full;
        let read = async {
            let feed = |bytes: &[u8]| {
                *last_read_was_full = bytes.len() == MAX_READ_BYTES;
                decoder.feed(bytes);
            };
            match read_some(&self.stream, MAX_READ_BYTES, feed).await? {
                Received::Bytes(()) => Ok(WaitEnd::Bytes),
                Received::End => Ok(WaitEnd::PeerClosed),
            }
        };
        let close_requested = async {
            self.close_request.wait().await;
            Ok(WaitEnd::CloseRequested)
        };
        let timed_out = async {
            match deadline {
                Some(deadline) => Timer::after(Duration::from_secs_f64((deadline - now).max(0.0))).await,
                None => pending().await,
            };
            Ok(WaitEnd::TimedOut)
        };
        let end: io::Result<WaitEnd> = read.or(close_requested).or(timed_out).await;
        if matches!(end, Ok(WaitEnd::Bytes)) {
            self.last_received = self.instance()?.borrow().clock_now();
        }
        end
    }

    /// Serves one transaction from its request to its final answer; false if the connection was closed.
    async fn serve_transaction(&mut self, request: Request, memory: MemoryPermit) -> io::Result<bool> {
        self.enter(ConnectionState::Busy)?;
        if !self.is_connected_behind_request().await? {
            return Ok(false);
        }
        let this = self.instance()?;
        let wants_close = request.close;
        let accepted = run_turn(&this, |this| this.accept_transaction(request, memory, self.last_received));
        let (id, answer_slot) = match accepted {
            Ok(accepted) => accepted,
            Err((status, reason)) => {
                drop(this);
                self.reject(status, reason).await?;
                return Ok(false);
            }
        };
        drop(this);
        let stream = self.stream.clone();
        let disconnected = async {
            // Bytes that arrive meanwhile belong to the next request. They are not left in the kernel, where they would hide
            // that the client has disconnected.
            loop {
                // What had arrived before was read.
                if stream.readable().await.is_err() {
                    return None;
                }
                yield_if_spent().await;
                match self.try_receive() {
                    Ok(Some(Received::Bytes(()))) => self.keep_received(),
                    Ok(None) => {}
                    Ok(Some(Received::End)) | Err(_) => return None,
                }
            }
        };
        let answer = async { Some(answer_slot.wait().await) }.or(disconnected).await;
        let this = self.instance()?;
        let Some(answer) = answer else {
            run_turn(&this, |this| this.client_cancelled(id));
            return Ok(false);
        };
        let stopping = this.borrow().shutdown_stage > ShutdownStage::Running;
        drop(this);
        // During a shutdown the connection is closed after the answer, unless another request has arrived after this one.
        let close = self.overrun
            || stopping && {
                let decoder = &mut self.decoder;
                let _ = try_read(self.stream.get_ref(), MAX_READ_BYTES, |bytes| decoder.feed(bytes));
                !decoder.has_partial_request()
            };
        self.write([&answer.encode_head(wants_close || close), answer.body()]).await?;
        drop(answer);
        if close {
            self.close().await?;
        }
        Ok(!close)
    }

    /// Writes the buffers in order to the client within the write timeout.
    async fn write<const COUNT: usize>(&self, buffers: [&[u8]; COUNT]) -> io::Result<()> {
        with_timeout(WRITE_TIMEOUT, vectored::write_all(&self.stream, buffers, || {})).await
    }

    /// Sends an error response for a request that is invalid or cannot be served, and closes the connection.
    async fn reject(&mut self, status: u16, reason: &str) -> io::Result<()> {
        // Nothing more is decoded of what the client sent, which may be much, and it is released at once, because many such
        // connections may be waiting for their close.
        self.decoder = RequestDecoder::default();
        self.buffer_memory.release();
        self.body_memory.release();
        if let Some(this) = self.instance.upgrade() {
            this.borrow_mut().counts.rejected += 1;
        }
        let response = encode_error_response(status, reason);
        if self.is_evicted()? {
            // Its place is needed at once.
            let _ = self.stream.get_ref().write(&response);
        } else {
            self.write([&response]).await?;
        }
        self.close().await
    }

    /// Closes the connection for sending, and discards what still arrives for a limited time or until the connection is
    /// evicted.
    async fn close(&self) -> io::Result<()> {
        if self.is_evicted()? {
            return self.stream.get_ref().shutdown(Shutdown::Write);
        }
        self.enter(ConnectionState::Lingering)?;
        let close_requested = async {
            self.close_request.wait().await;
            Ok(())
        };
        linger(&self.stream).or(close_requested).await
    }
}

/// Closes a connection for sending, and reads and discards what still arrives for a limited time.
async fn linger(stream: &Async<TcpStream>) -> io::Result<()> {
    stream.get_ref().shutdown(Shutdown::Write)?;
    let mut remaining = MAX_LINGER_BYTES;
    let discard = async {
        while remaining > 0 {
            match read_some(stream, MAX_READ_BYTES, <[u8]>::len).await? {
                Received::Bytes(count) => remaining = remaining.saturating_sub(count),
                Received::End => break,
            }
        }
        Ok(())
    };
    with_timeout(LINGER_TIMEOUT, discard).await
}

/// Serves a client for which there was no place if its first bytes are a whole request that can be given one, and otherwise
/// refuses it. `permit` is one of the limited number for such clients.
pub async fn serve_in_lobby(instance: WeakInstance, stream: Rc<Async<TcpStream>>, permit: LobbyPermit) {
    let mut decoder = RequestDecoder::default();
    let first_read = read_some(&stream, MAX_READ_BYTES, |bytes| decoder.feed(bytes));
    let _ = with_timeout(LOBBY_TIMEOUT, first_read).await;
    if !decoder.has_partial_request() {
        // It has asked for nothing that could be refused.
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        return;
    }
    let Some(account) = instance.upgrade().map(|this| this.borrow().memory.clone()) else { return };
    let memory = account.try_hold(MemoryKind::ReceiveBuffer, allocated_bytes(decoder.memory_bytes()));
    let is_whole = memory.is_some() && matches!(decoder.clone().poll(), Ok(Some(_)));
    let added = if is_whole { place_for_request(&instance).await } else { None };
    drop(memory);
    match added {
        Some(client) => {
            drop(permit);
            serve(instance, client, stream, decoder).await;
        }
        None => refuse(&instance, &stream).await,
    }
}

/// A place for a client whose request has arrived whole; `None` if there is none.
async fn place_for_request(instance: &WeakInstance) -> Option<AddedClient> {
    let began = Instant::now();
    loop {
        let added = run_turn(&instance.upgrade()?, Instance::client_connected_with_request);
        if added.is_some() || began.elapsed().as_secs_f64() > LOBBY_TIMEOUT {
            return added;
        }
        // An evicted connection may still be closing.
        Timer::after(PLACE_CHECK_INTERVAL).await;
    }
}

/// Refuses a client beyond the connection limit with a 503 response, which tells it that it may retry; a bare close would not.
async fn refuse(instance: &WeakInstance, stream: &Async<TcpStream>) {
    if let Some(this) = instance.upgrade() {
        this.borrow_mut().counts.refused += 1;
    }
    let text = encode_error_response(503, "no room for a connection");
    let mut writer = stream;
    let refusal = async {
        writer.write_all(&text).await?;
        linger(stream).await
    };
    let _ = with_timeout(REFUSAL_TIMEOUT, refusal).await;
}
