//! Clients of a run, each with its own behavior. Each records every request that it sends and how the request ended.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::process::Fleet;
use crate::record::{Class, Event};
use crate::rig::put_request;
use crate::scenario::{ClientBehavior, Scenario};

/// Time past its deadline after which a request with neither an answer nor a closed connection counts as never completed.
const ANSWER_WAIT: Duration = Duration::from_secs(3);
/// Number of requests that a pipelining client sends at once.
const PIPELINE_DEPTH: usize = 3;

/// How a request ended for its client.
enum RequestEnd {
    /// Answered, and the connection stays usable.
    Answered,
    /// Answered, and the server closes the connection after this answer.
    AnsweredLast,
    /// No answer: the connection ended, or nothing came in time.
    Unanswered,
}

/// A client of one gateway process.
pub struct Client<'a> {
    fleet: &'a Fleet<'a>,
    scenario: &'a Scenario,
    stop: &'a AtomicBool,
    /// Index of the gateway process that it connects to.
    process: usize,
    /// Prefix of its request ids.
    name: String,
    rng: WyRand,
    /// Requests generated so far.
    count: usize,
}

/// A request to be sent.
struct Request {
    id: String,
    class: Class,
    /// Time until its deadline, seconds.
    budget: f64,
    /// The request as sent on the wire.
    text: String,
}

impl<'a> Client<'a> {
    pub fn new(
        fleet: &'a Fleet<'a>, scenario: &'a Scenario, stop: &'a AtomicBool, number: usize, process: usize,
    ) -> Self {
        let rng = WyRand::new_seed(scenario.seed ^ ((number as u64 + 1) << 32));
        let name = format!("p{process}c{number}");
        Client { fleet, scenario, stop, process, name, rng, count: 0 }
    }

    /// Sends requests until the run's stop flag is set, and connects again whenever its connection ends.
    pub fn run(mut self, behavior: ClientBehavior) {
        while !self.stopped() {
            let Some(mut stream) = self.connect() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let mut new_connection = true;
            while !self.stopped() && self.send_next(behavior, &mut stream, new_connection) {
                new_connection = false;
            }
        }
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.fleet.address(self.process)?).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Sends one request or one pipelined batch. Returns false if the connection is no longer usable.
    fn send_next(&mut self, behavior: ClientBehavior, stream: &mut TcpStream, new_connection: bool) -> bool {
        match behavior {
            ClientBehavior::Paced => {
                let usable = self.send_request(stream, new_connection);
                self.sleep(3, 12);
                usable
            }
            ClientBehavior::BackToBack => self.send_request(stream, new_connection),
            ClientBehavior::Pipelined => self.send_pipelined(stream, new_connection),
            ClientBehavior::Idle => self.send_and_idle(stream, new_connection),
            ClientBehavior::SingleBytes => self.send_byte_by_byte(stream, new_connection),
            ClientBehavior::Disconnects => self.send_and_disconnect(stream, new_connection),
        }
    }

    /// Sleeps for a random time in this range, milliseconds.
    fn sleep(&mut self, from_ms: u64, to_ms: u64) {
        thread::sleep(Duration::from_millis(self.rng.generate_range(from_ms..to_ms)));
    }

    fn request(&mut self) -> Request {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let class = if self.rng.generate_range(0..3u8) == 0 { Class::Buy } else { Class::Lookup };
        let [lookup, buy] = self.scenario.settings.deadlines;
        let (name, budget) = match class {
            Class::Lookup => ("lookup", lookup),
            Class::Buy => ("buy", buy),
        };
        let host_count = format!("hosts={}", self.scenario.processes);
        let text =
            put_request(name, &id, &format!("{}m", (budget * 1e3) as u64)).replace("hosts=2", &host_count);
        Request { id, class, budget, text }
    }

    fn record_written(&self, request: &Request, fresh_connection: bool) {
        self.fleet.recorder.record(Event::RequestWritten {
            id: request.id.clone(),
            process: self.process,
            class: request.class,
            budget: request.budget,
            fresh_connection,
        });
    }

    fn send_request(&mut self, stream: &mut TcpStream, new_connection: bool) -> bool {
        let request = self.request();
        if stream.write_all(request.text.as_bytes()).is_err() {
            return false;
        }
        self.record_written(&request, new_connection);
        matches!(self.wait_for_answer(stream, &request), RequestEnd::Answered)
    }

    /// Sends several requests at once. The time of each later request counts from the answer to the previous one, because the
    /// platform's specification handles one request at a time on a connection.
    fn send_pipelined(&mut self, stream: &mut TcpStream, new_connection: bool) -> bool {
        let requests: Vec<Request> = (0..PIPELINE_DEPTH).map(|_| self.request()).collect();
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        self.fleet.recorder.record_occurrence("pipelined requests");
        for (index, request) in requests.iter().enumerate() {
            self.record_written(request, new_connection && index == 0);
            if !matches!(self.wait_for_answer(stream, request), RequestEnd::Answered) {
                return false;
            }
        }
        true
    }

    fn send_byte_by_byte(&mut self, stream: &mut TcpStream, new_connection: bool) -> bool {
        let request = self.request();
        for byte in request.text.bytes() {
            if stream.write_all(&[byte]).is_err() {
                return false;
            }
            thread::sleep(Duration::from_micros(500));
        }
        self.fleet.recorder.record_occurrence("requests sent byte by byte");
        self.record_written(&request, new_connection);
        matches!(self.wait_for_answer(stream, &request), RequestEnd::Answered)
    }

    fn send_and_disconnect(&mut self, stream: &mut TcpStream, new_connection: bool) -> bool {
        let request = self.request();
        if stream.write_all(request.text.as_bytes()).is_err() {
            return false;
        }
        self.record_written(&request, new_connection);
        self.sleep(0, 40);
        let _ = stream.shutdown(Shutdown::Both);
        self.fleet.recorder.record(Event::ClientDisconnected { id: request.id });
        self.fleet.recorder.record_occurrence("clients that disconnect");
        false
    }

    /// Sends one request, then stays idle until the process closes the connection. If the process receives SIGTERM meanwhile,
    /// sends half a request or a whole one at a random moment before SIGKILL may come.
    fn send_and_idle(&mut self, stream: &mut TcpStream, new_connection: bool) -> bool {
        if !self.send_request(stream, new_connection) {
            return false;
        }
        let idle_until = Instant::now() + Duration::from_secs_f64(self.scenario.sigkill_delay() + 4.0);
        let mut sends_at = None;
        while !self.stopped() && Instant::now() < idle_until {
            if closes_within(stream, Duration::from_millis(5)) {
                self.fleet.recorder.record_occurrence("idle until the process closed");
                return false;
            }
            if self.fleet.is_terminating(self.process) && sends_at.is_none() {
                let delay = self.rng.generate::<f64>() * self.scenario.sigkill_delay();
                sends_at = Some(Instant::now() + Duration::from_secs_f64(delay));
            }
            if sends_at.is_some_and(|time| Instant::now() >= time) {
                return self.send_during_shutdown(stream);
            }
        }
        true
    }

    fn send_during_shutdown(&mut self, stream: &mut TcpStream) -> bool {
        if self.rng.generate::<bool>() {
            self.fleet.recorder.record_occurrence("requests on a closing connection");
            return self.send_request(stream, false);
        }
        let request = self.request();
        let half = &request.text.as_bytes()[..request.text.len() / 2];
        if stream.write_all(half).is_ok() {
            self.fleet.recorder.record_occurrence("half a request during shutdown");
            closes_within(stream, ANSWER_WAIT);
        }
        false
    }

    /// Waits for the answer and records how the request ended.
    fn wait_for_answer(&self, stream: &mut TcpStream, request: &Request) -> RequestEnd {
        let max_wait = Duration::from_secs_f64(request.budget) + ANSWER_WAIT;
        let id = request.id.clone();
        match read_answer(stream, Instant::now() + max_wait) {
            Ok(Some((status, body, is_last))) => {
                self.fleet.recorder.record(Event::AnswerReceived { id, status, body });
                if is_last {
                    RequestEnd::AnsweredLast
                } else {
                    RequestEnd::Answered
                }
            }
            Ok(None) => {
                self.fleet.recorder.record(Event::ClosedUnanswered { id });
                RequestEnd::Unanswered
            }
            Err(TimedOut) => {
                self.fleet.recorder.record(Event::TimedOut { id });
                RequestEnd::Unanswered
            }
        }
    }
}

/// Neither an answer nor the end of the connection came in time.
struct TimedOut;

/// Whether the peer closes the connection within this time. Received data is discarded.
fn closes_within(stream: &mut TcpStream, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    let mut bytes = [0; 4096];
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(remaining));
        match stream.read(&mut bytes) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) if is_timeout(error.kind()) => return false,
            Err(_) => return true,
        }
    }
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Reads an answer: its status, its body, and whether the server closes the connection after it. `None` if the connection ends
/// before the whole answer was received.
fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Result<Option<(u16, String, bool)>, TimedOut> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Some(byte) = read_byte(stream, deadline)? else { return Ok(None) };
        head.push(byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length =
        head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0usize);
    let mut body = Vec::new();
    while body.len() < length {
        let Some(byte) = read_byte(stream, deadline)? else { return Ok(None) };
        body.push(byte);
    }
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let is_last = head.lines().any(|line| line.eq_ignore_ascii_case("connection: close"));
    Ok(Some((status, String::from_utf8_lossy(&body).into_owned(), is_last)))
}

fn read_byte(stream: &mut TcpStream, deadline: Instant) -> Result<Option<u8>, TimedOut> {
    let mut byte = [0];
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(TimedOut);
        }
        let _ = stream.set_read_timeout(Some(remaining));
        match stream.read(&mut byte) {
            Ok(0) => return Ok(None),
            Ok(_) => return Ok(Some(byte[0])),
            Err(error) if is_timeout(error.kind()) => return Err(TimedOut),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(None),
        }
    }
}
