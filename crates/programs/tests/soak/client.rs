//! Clients of a run, each with its manner; every request and its end are noted.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::process::Fleet;
use crate::record::{Class, Event};
use crate::rig::put_request;
use crate::script::{Manner, Script};

/// A request that has neither an answer nor an end of its connection for so long behind its time never will.
const NEVER: Duration = Duration::from_secs(3);
/// Requests that a client sends at once.
const AHEAD: usize = 3;

/// How a request ended for its client.
enum Ended {
    /// The connection goes on.
    Answered,
    /// It was answered, and the connection is of no more use.
    Last,
    Closed,
}

pub struct Client<'a> {
    fleet: &'a Fleet<'a>,
    script: &'a Script,
    stop: &'a AtomicBool,
    process: usize,
    name: String,
    chance: WyRand,
    count: usize,
}

/// A request that is to be sent.
struct Request {
    id: String,
    class: Class,
    budget: f64,
    text: String,
}

impl<'a> Client<'a> {
    pub fn new(
        fleet: &'a Fleet<'a>, script: &'a Script, stop: &'a AtomicBool, number: usize, process: usize,
    ) -> Self {
        let chance = WyRand::new_seed(script.seed ^ ((number as u64 + 1) << 32));
        let name = format!("p{process}c{number}");
        Client { fleet, script, stop, process, name, chance, count: 0 }
    }

    /// Goes on until it is told to stop.
    pub fn run(mut self, manner: Manner) {
        while !self.stopped() {
            let Some(mut stream) = self.connect() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let mut fresh = true;
            while !self.stopped() && self.turn(manner, &mut stream, fresh) {
                fresh = false;
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

    /// One request or a few; false where the connection is of no more use.
    fn turn(&mut self, manner: Manner, stream: &mut TcpStream, fresh: bool) -> bool {
        match manner {
            Manner::Usual => {
                let goes_on = self.ask(stream, fresh);
                self.sleep(3, 12);
                goes_on
            }
            Manner::BackToBack => self.ask(stream, fresh),
            Manner::Pipelined => self.ask_ahead(stream, fresh),
            Manner::Resting => self.rest(stream, fresh),
            Manner::SingleBytes => self.ask_by_bytes(stream, fresh),
            Manner::Leaves => self.ask_and_leave(stream, fresh),
        }
    }

    fn sleep(&mut self, from: u64, to: u64) {
        thread::sleep(Duration::from_millis(self.chance.generate_range(from..to)));
    }

    fn request(&mut self) -> Request {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let class = if self.chance.generate_range(0..3u8) == 0 { Class::Buy } else { Class::Lookup };
        let [lookup, buy] = self.script.settings.deadlines;
        let (name, budget) = match class {
            Class::Lookup => ("lookup", lookup),
            Class::Buy => ("buy", buy),
        };
        let hosts = format!("hosts={}", self.script.processes);
        let text = put_request(name, &id, &format!("{}m", (budget * 1e3) as u64)).replace("hosts=2", &hosts);
        Request { id, class, budget, text }
    }

    fn written(&self, request: &Request, fresh_connection: bool) {
        self.fleet.recorder.note(Event::Written {
            id: request.id.clone(),
            process: self.process,
            class: request.class,
            budget: request.budget,
            fresh_connection,
        });
    }

    fn ask(&mut self, stream: &mut TcpStream, fresh: bool) -> bool {
        let request = self.request();
        if stream.write_all(request.text.as_bytes()).is_err() {
            return false;
        }
        self.written(&request, fresh);
        matches!(self.wait(stream, &request), Ended::Answered)
    }

    /// Several at once. The time of those behind the first counts from when the one before is answered, as the pages have
    /// one request at a time on a connection.
    fn ask_ahead(&mut self, stream: &mut TcpStream, fresh: bool) -> bool {
        let requests: Vec<Request> = (0..AHEAD).map(|_| self.request()).collect();
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        self.fleet.recorder.strike("requests sent ahead");
        for (at, request) in requests.iter().enumerate() {
            self.written(request, fresh && at == 0);
            if !matches!(self.wait(stream, request), Ended::Answered) {
                return false;
            }
        }
        true
    }

    fn ask_by_bytes(&mut self, stream: &mut TcpStream, fresh: bool) -> bool {
        let request = self.request();
        for byte in request.text.bytes() {
            if stream.write_all(&[byte]).is_err() {
                return false;
            }
            thread::sleep(Duration::from_micros(500));
        }
        self.fleet.recorder.strike("requests by single bytes");
        self.written(&request, fresh);
        matches!(self.wait(stream, &request), Ended::Answered)
    }

    fn ask_and_leave(&mut self, stream: &mut TcpStream, fresh: bool) -> bool {
        let request = self.request();
        if stream.write_all(request.text.as_bytes()).is_err() {
            return false;
        }
        self.written(&request, fresh);
        self.sleep(0, 40);
        let _ = stream.shutdown(Shutdown::Both);
        self.fleet.recorder.note(Event::Left { id: request.id });
        self.fleet.recorder.strike("clients that leave");
        false
    }

    /// Asks once, then rests until the process ends the connection. Where that is told to end, some send half a request or a
    /// whole one at some moment of its notice.
    fn rest(&mut self, stream: &mut TcpStream, fresh: bool) -> bool {
        if !self.ask(stream, fresh) {
            return false;
        }
        let rests_until = Instant::now() + Duration::from_secs_f64(self.script.notice() + 4.0);
        let mut speaks_at = None;
        while !self.stopped() && Instant::now() < rests_until {
            if ended(stream, Duration::from_millis(5)) {
                self.fleet.recorder.strike("rested until the process closed");
                return false;
            }
            if self.fleet.ends(self.process) && speaks_at.is_none() {
                let behind = self.chance.generate::<f64>() * self.script.notice();
                speaks_at = Some(Instant::now() + Duration::from_secs_f64(behind));
            }
            if speaks_at.is_some_and(|at| Instant::now() >= at) {
                return self.speak(stream);
            }
        }
        true
    }

    fn speak(&mut self, stream: &mut TcpStream) -> bool {
        if self.chance.generate::<bool>() {
            self.fleet.recorder.strike("requests on a closing connection");
            return self.ask(stream, false);
        }
        let request = self.request();
        let half = &request.text.as_bytes()[..request.text.len() / 2];
        if stream.write_all(half).is_ok() {
            self.fleet.recorder.strike("half a request while it ends");
            ended(stream, NEVER);
        }
        false
    }

    /// Waits for the answer, and notes how it ends.
    fn wait(&self, stream: &mut TcpStream, request: &Request) -> Ended {
        let most = Duration::from_secs_f64(request.budget) + NEVER;
        let id = request.id.clone();
        match read_answer(stream, Instant::now() + most) {
            Ok(Some((status, body, last))) => {
                self.fleet.recorder.note(Event::Answered { id, status, body });
                if last {
                    Ended::Last
                } else {
                    Ended::Answered
                }
            }
            Ok(None) => {
                self.fleet.recorder.note(Event::Unanswered { id });
                Ended::Closed
            }
            Err(Late) => {
                self.fleet.recorder.note(Event::Silent { id });
                Ended::Closed
            }
        }
    }
}

/// Neither an answer nor an end.
struct Late;

/// Whether the peer ends the connection within so long; what it sends is thrown away.
fn ended(stream: &mut TcpStream, within: Duration) -> bool {
    let until = Instant::now() + within;
    let mut bytes = [0; 4096];
    loop {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(left));
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

/// Status, body, and whether it is the connection's last; none where the connection ends without a whole answer.
fn read_answer(stream: &mut TcpStream, until: Instant) -> Result<Option<(u16, String, bool)>, Late> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Some(byte) = read_byte(stream, until)? else { return Ok(None) };
        head.push(byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length =
        head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0usize);
    let mut body = Vec::new();
    while body.len() < length {
        let Some(byte) = read_byte(stream, until)? else { return Ok(None) };
        body.push(byte);
    }
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let last = head.lines().any(|line| line.eq_ignore_ascii_case("connection: close"));
    Ok(Some((status, String::from_utf8_lossy(&body).into_owned(), last)))
}

fn read_byte(stream: &mut TcpStream, until: Instant) -> Result<Option<u8>, Late> {
    let mut byte = [0];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Late);
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut byte) {
            Ok(0) => return Ok(None),
            Ok(_) => return Ok(Some(byte[0])),
            Err(error) if is_timeout(error.kind()) => return Err(Late),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(None),
        }
    }
}
