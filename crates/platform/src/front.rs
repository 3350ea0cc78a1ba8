//! The way in: one task for each client connection, one request at a time.

use std::cell::RefCell;
use std::future::pending;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quaypath_http::{encode_error_response, encode_response, Request, RequestDecoder, MAX_HEAD_BYTES};
use quaypath_initiator::event_loop::{read_some, run_turn, try_read, with_timeout, Driver, Notify, Received};
use quaypath_initiator::polls::yield_if_spent;

use crate::instance::{Permit, Shared, ShutdownStage, Weakly};
use crate::READ;

/// A whole request is wanted within so many seconds of the connection's opening, or of its own first byte.
const PATIENCE: f64 = 2.5;
/// An idle connection that was used before is closed after this, seconds; and where more than half of the room for
/// client connections is taken. The platform allows it from 2 s on.
pub const IDLE: f64 = 15.0;
pub const IDLE_PRESSED: f64 = 2.0;
/// How long a peer may take to read an answer, seconds.
const WRITE: f64 = 5.0;
/// What is still coming in when an error is written is read for so long, and so much of it, before the close: the
/// reset that unread bytes bring would eat the error.
const LINGER: f64 = 1.0;
const LINGER_BYTES: usize = 1 << 20;
/// The same for one that finds no room, whose descriptor is scarce.
const TURNED_AWAY: f64 = 0.2;
/// How often a client that asks whether we are up is looked after while we are not, seconds.
const ASKED_AGAIN: Duration = Duration::from_millis(10);

/// The state of a client connection. Every change goes through [`ClientConnection::to`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Opened, and no whole request yet.
    Fresh,
    /// Between two requests.
    Idle,
    /// Half a request.
    Reading,
    /// A transaction is open.
    Busy,
    /// To be closed, unless a request has come meanwhile.
    Closing,
    /// The same, and its room is wanted at once.
    Evicted,
    /// No more is sent on it, and what still comes is thrown away for a while.
    Lingering,
}

pub struct ClientConnection {
    pub state: ConnectionState,
    pub since: f64,
    pub close_request: Rc<Notify>,
}

impl ClientConnection {
    pub fn to(&mut self, next: ConnectionState, now: f64) {
        (self.state, self.since) = (next, now);
        if matches!(next, ConnectionState::Closing | ConnectionState::Evicted) {
            self.close_request.notify();
        } else {
            // What a request has come before is not to be closed at the next wait.
            self.close_request.clear();
        }
    }
}

/// A final answer.
pub enum Answer {
    /// What the node sent: kind and body, counted until it is written.
    Settled(Option<String>, Vec<u8>, #[allow(dead_code)] Permit),
    /// Nothing came of it, and it may be tried again after so many seconds.
    Declined(f64),
    /// No promise.
    Scrapped,
}

impl Answer {
    fn encode(&self, close: bool) -> Vec<u8> {
        match self {
            Answer::Settled(kind, body, _) => {
                let kind = kind.as_deref().map(|kind| ("Content-Type", kind));
                encode_response(200, kind.as_slice(), body, close)
            }
            Answer::Declined(come_back) if *come_back > 0.0 => {
                let wait = format!("{:.3}", (come_back * 1e3).ceil() / 1e3);
                encode_response(503, &[("Retry-After", &wait)], b"declined\n", close)
            }
            Answer::Declined(_) => encode_response(503, &[], b"declined\n", close),
            Answer::Scrapped => encode_response(500, &[], b"scrapped\n", close),
        }
    }
}

/// Where a transaction's final answer is left for its client's task.
#[derive(Default)]
pub struct Reply {
    answer: RefCell<Option<Answer>>,
    told: Notify,
}

impl Reply {
    pub fn give(&self, answer: Answer) {
        *self.answer.borrow_mut() = Some(answer);
        self.told.notify();
    }

    async fn wait(&self) -> Answer {
        loop {
            if let Some(answer) = self.answer.borrow_mut().take() {
                return answer;
            }
            self.told.wait().await;
        }
    }
}

/// Serves one client connection until it ends.
pub async fn serve(instance: Weakly, number: u64, close_request: Rc<Notify>, stream: Rc<Async<TcpStream>>) {
    let mut client =
        Client { instance, number, close_request, stream, decoder: RequestDecoder::default(), arrived: 0.0 };
    let _ = client.run().await;
    if let Some(this) = client.instance.upgrade() {
        this.borrow_mut().clients.remove(&number);
    }
}

struct Client {
    instance: Weakly,
    number: u64,
    close_request: Rc<Notify>,
    stream: Rc<Async<TcpStream>>,
    decoder: RequestDecoder,
    /// When bytes came last.
    arrived: f64,
}

/// What a wait for more of a request ended with.
enum Went {
    More,
    End,
    CloseRequested,
    Late,
}

impl Client {
    fn instance(&self) -> io::Result<Shared> {
        self.instance.upgrade().ok_or(io::ErrorKind::NotConnected.into())
    }

    /// Notes the state that the connection is in now.
    fn enter(&self, state: ConnectionState) -> io::Result<f64> {
        let this = self.instance()?;
        let mut this = this.borrow_mut();
        let now = this.clock_now();
        if let Some(client) = this.clients.get_mut(&self.number) {
            let known = client.state;
            if known != state && !(known == ConnectionState::Fresh && state == ConnectionState::Idle) {
                client.to(state, now);
            }
        }
        Ok(now)
    }

    async fn run(&mut self) -> io::Result<()> {
        loop {
            let Some((request, held)) = self.request().await? else { return Ok(()) };
            let close = request.close;
            let target = request.target.split('?').next().unwrap_or("");
            if request.method == "GET" && target == "/up" {
                self.enter(ConnectionState::Busy)?;
                while !self.instance()?.borrow().ready() {
                    Timer::after(ASKED_AGAIN).await;
                }
                self.write(&encode_response(200, &[], b"up\n", close)).await?;
            } else if !self.transaction(request, held).await? {
                return Ok(());
            }
            if close {
                return self.end().await;
            }
            // Many requests may have come in one read.
            yield_if_spent().await;
        }
    }

    /// The next whole request with the room for its body; none where the connection has been closed.
    async fn request(&mut self) -> io::Result<Option<(Request, Permit)>> {
        let opened = self.enter(ConnectionState::Idle)?;
        let first = self.arrived == 0.0;
        let mut until = first.then_some(opened + PATIENCE);
        let mut held: Option<Permit> = None;
        let mut told = false;
        loop {
            match self.decoder.poll() {
                Ok(Some(request)) => {
                    let Some(held) = held.or_else(|| self.hold(request.body.len())) else {
                        self.refuse(503, "no room for a body").await?;
                        return Ok(None);
                    };
                    return Ok(Some((request, held)));
                }
                Ok(None) => {}
                Err(refused) => {
                    self.refuse(refused.status, refused.reason).await?;
                    return Ok(None);
                }
            }
            let announced = self.decoder.announced_body();
            if announced > 0 && held.is_none() {
                held = self.hold(announced);
                if held.is_none() {
                    self.refuse(503, "no room for a body").await?;
                    return Ok(None);
                }
            }
            if self.decoder.expects_continue() && !told {
                told = true;
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            if self.decoder.has_partial_request() {
                if self.instance()?.borrow().stop == ShutdownStage::Terminating {
                    self.refuse(503, "the process ends").await?;
                    return Ok(None);
                }
                let now = self.enter(ConnectionState::Reading)?;
                until.get_or_insert(now + PATIENCE);
            }
            match self.more(until).await? {
                Went::More => {}
                Went::End => return Ok(None),
                Went::Late if self.decoder.has_partial_request() => {
                    self.refuse(408, "no whole request in time").await?;
                    return Ok(None);
                }
                // Asked to make room, at a stop, or idle for too long: unless something has just come.
                Went::Late | Went::CloseRequested => {
                    if !self.decoder.has_partial_request() {
                        if self.nothing_came()? {
                            self.end().await?;
                            return Ok(None);
                        }
                        self.enter(ConnectionState::Idle)?;
                    }
                }
            }
        }
    }

    /// A last look before a close between two requests: false where bytes have come since the last one.
    fn nothing_came(&mut self) -> io::Result<bool> {
        let decoder = &mut self.decoder;
        let came = try_read(self.stream.get_ref(), READ, |bytes| decoder.feed(bytes))?;
        if matches!(came, Some(Received::Bytes(()))) {
            self.arrived = self.instance()?.borrow().clock_now();
            return Ok(false);
        }
        Ok(true)
    }

    fn hold(&self, bytes: usize) -> Option<Permit> {
        let this = self.instance.upgrade()?;
        let held = this.borrow_mut().hold(bytes);
        held
    }

    /// Waits for more bytes, a request to close, or the end of patience.
    async fn more(&mut self, until: Option<f64>) -> io::Result<Went> {
        let now = self.instance()?.borrow().clock_now();
        let decoder = &mut self.decoder;
        let read = async {
            match read_some(&self.stream, READ, |bytes| decoder.feed(bytes)).await? {
                Received::Bytes(()) => Ok(Went::More),
                Received::End => Ok(Went::End),
            }
        };
        let asked = async {
            self.close_request.wait().await;
            Ok(Went::CloseRequested)
        };
        let late = async {
            match until {
                Some(until) => Timer::after(Duration::from_secs_f64((until - now).max(0.0))).await,
                None => pending().await,
            };
            Ok(Went::Late)
        };
        let went: io::Result<Went> = read.or(asked).or(late).await;
        if matches!(went, Ok(Went::More)) {
            self.arrived = self.instance()?.borrow().clock_now();
        }
        went
    }

    /// One transaction from its request to its final answer; false where the connection has been closed.
    async fn transaction(&mut self, request: Request, held: Permit) -> io::Result<bool> {
        let this = self.instance()?;
        self.enter(ConnectionState::Busy)?;
        let wants_close = request.close;
        let taken = run_turn(&this, |this| this.take(request, held, self.arrived));
        let (id, reply) = match taken {
            Ok(taken) => taken,
            Err((status, why)) => {
                drop(this);
                self.refuse(status, why).await?;
                return Ok(false);
            }
        };
        drop(this);
        let (decoder, stream, mut overrun) = (&mut self.decoder, self.stream.clone(), false);
        let gone = async {
            // What comes meanwhile is the next request. Past a head's length it is thrown away, and the connection
            // ends behind this answer: left in the kernel, it would hide that its client has gone.
            loop {
                let room = MAX_HEAD_BYTES.saturating_sub(decoder.buffered());
                let keep = |bytes: &[u8]| {
                    decoder.feed(&bytes[..bytes.len().min(room)]);
                    bytes.len() > room
                };
                match read_some(&stream, READ, keep).await {
                    Ok(Received::Bytes(over)) => overrun |= over,
                    Ok(Received::End) | Err(_) => return None,
                }
            }
        };
        let answer = async { Some(reply.wait().await) }.or(gone).await;
        let this = self.instance()?;
        let Some(answer) = answer else {
            run_turn(&this, |this| this.lapsed(id));
            return Ok(false);
        };
        let stopping = this.borrow().stop > ShutdownStage::No;
        drop(this);
        // At a stop the answer ends the connection, unless a further request has come behind this one.
        let ends = overrun
            || stopping && {
                let decoder = &mut self.decoder;
                let _ = try_read(self.stream.get_ref(), READ, |bytes| decoder.feed(bytes));
                !decoder.has_partial_request()
            };
        self.write(&answer.encode(wants_close || ends)).await?;
        if ends {
            self.end().await?;
        }
        Ok(!ends)
    }

    async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = &*self.stream;
        with_timeout(WRITE, async { stream.write_all(bytes).await }).await
    }

    /// An error for what cannot be read or is not fit, and the end of the connection.
    async fn refuse(&mut self, status: u16, why: &str) -> io::Result<()> {
        // Nothing more is read of what it sent, which may be much: a crowd of such clients waits for its close.
        self.decoder = RequestDecoder::default();
        if let Some(this) = self.instance.upgrade() {
            this.borrow_mut().counts.unfit += 1;
        }
        self.write(&encode_error_response(status, why)).await?;
        self.end().await
    }

    /// Says that no more is sent, and takes what is still coming for a while, or until its room is wanted.
    async fn end(&self) -> io::Result<()> {
        let this = self.instance()?;
        let evicted = this.borrow().clients.get(&self.number).map(|client| client.state)
            == Some(ConnectionState::Evicted);
        drop(this);
        if evicted {
            return self.stream.get_ref().shutdown(Shutdown::Write);
        }
        self.enter(ConnectionState::Lingering)?;
        let asked = async {
            self.close_request.wait().await;
            Ok(())
        };
        linger(&self.stream).or(asked).await
    }
}

async fn linger(stream: &Async<TcpStream>) -> io::Result<()> {
    stream.get_ref().shutdown(Shutdown::Write)?;
    let mut left = LINGER_BYTES;
    let rest = async {
        while left > 0 {
            match read_some(stream, READ, <[u8]>::len).await? {
                Received::Bytes(count) => left = left.saturating_sub(count),
                Received::End => break,
            }
        }
        Ok(())
    };
    with_timeout(LINGER, rest).await
}

/// Tells a client for whom there is no room that it may come again, in place of a close without a word.
pub async fn turn_away(stream: Rc<Async<TcpStream>>, _refusal: Rc<()>) {
    let text = encode_error_response(503, "no room for a connection");
    let mut writer = &*stream;
    let told = async {
        writer.write_all(&text).await?;
        linger(&stream).await
    };
    let _ = with_timeout(TURNED_AWAY, told).await;
}
