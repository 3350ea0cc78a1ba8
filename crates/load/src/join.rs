//! Several generators on sockets: one waits for the others, tells all when to start, and makes one result of theirs.
//!
//! Each message is a length, a kind and a body. What comes is bounded before memory is taken for it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use quaypath_record::Clock;
use serde::{Deserialize, Serialize};

use crate::parts::{Hello, Parts, State};
use crate::result::Outcome;
use crate::run::Fleet;

/// A generator's place, and where the load goes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Given {
    pub part: u32,
    pub of: u32,
    pub fleet: Fleet,
}

/// What a generator counted since it last said so.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Beat {
    pub at: f64,
    pub offered: u64,
    pub in_time: u64,
    pub settled: u64,
    pub others: u64,
    /// Milliseconds.
    pub p50: f64,
    pub p99: f64,
    pub lag: f64,
    pub open: usize,
}

#[derive(Debug)]
enum Message {
    Hello(Hello),
    Given(Given),
    Refused(String),
    /// Second 0, seconds since the epoch.
    Start(f64),
    Beat(Beat),
    Result(Vec<u8>),
}

/// Longest message and longest result, bytes.
const LONGEST: usize = 64 << 10;
const LONGEST_RESULT: usize = 256 << 20;

fn send(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    let json = |body: serde_json::Result<Vec<u8>>| body.map_err(io::Error::other);
    let (kind, body) = match message {
        Message::Hello(hello) => (1u8, json(serde_json::to_vec(hello))?),
        Message::Given(given) => (2, json(serde_json::to_vec(given))?),
        Message::Refused(why) => (3, why.clone().into_bytes()),
        Message::Start(at) => (4, json(serde_json::to_vec(at))?),
        Message::Beat(beat) => (5, json(serde_json::to_vec(beat))?),
        Message::Result(bytes) => (6, bytes.clone()),
    };
    let mut head = (body.len() as u32).to_le_bytes().to_vec();
    head.push(kind);
    stream.write_all(&head)?;
    stream.write_all(&body)
}

fn receive(stream: &mut impl Read) -> io::Result<Message> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let most = if head[4] == 6 { LONGEST_RESULT } else { LONGEST };
    if length > most {
        return Err(io::Error::other(format!("a message of {length} bytes, {most} at most")));
    }
    // Grows with what comes: a length alone takes no memory.
    let mut body = Vec::new();
    stream.take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let json = |error: serde_json::Error| io::Error::other(format!("message of kind {}: {error}", head[4]));
    Ok(match head[4] {
        1 => Message::Hello(serde_json::from_slice(&body).map_err(json)?),
        2 => Message::Given(serde_json::from_slice(&body).map_err(json)?),
        3 => Message::Refused(String::from_utf8_lossy(&body).into_owned()),
        4 => Message::Start(serde_json::from_slice(&body).map_err(json)?),
        5 => Message::Beat(serde_json::from_slice(&body).map_err(json)?),
        6 => Message::Result(body),
        other => return Err(io::Error::other(format!("a message of kind {other}"))),
    })
}

/// What the waiting side hears of its connections.
enum Heard {
    Came(u64, TcpStream),
    Said(u64, Message),
    Ended(u64, String),
}

/// Most connections that are looked at; each has a thread.
const MOST_CONNECTIONS: u64 = 256;

fn listen(listener: TcpListener, heard: Sender<Heard>) {
    for (number, stream) in (0..MOST_CONNECTIONS).zip(listener.incoming().flatten()) {
        let Ok(reading) = stream.try_clone() else { continue };
        if heard.send(Heard::Came(number, stream)).is_err() {
            return;
        }
        let heard = heard.clone();
        std::thread::spawn(move || {
            let mut reading = reading;
            loop {
                let said = match receive(&mut reading) {
                    Ok(message) => Heard::Said(number, message),
                    Err(error) => Heard::Ended(number, error.to_string()),
                };
                let ended = matches!(said, Heard::Ended(..));
                if heard.send(said).is_err() || ended {
                    return;
                }
            }
        });
    }
}

/// The results of those that gave one, and where each generator stands in the end.
pub type Gathered = (Vec<Outcome>, Vec<State>, f64);

/// Waits for the generators of one load, starts them and gathers their results. `told`: what each says meanwhile.
pub fn gather(
    listener: TcpListener, own: Hello, of: u32, fleet: &Fleet, clock: Clock, told: impl FnMut(usize, &Beat),
) -> Result<Gathered, String> {
    let (sender, heard) = channel();
    std::thread::spawn(move || listen(listener, sender));
    let mut gathering = Gathering {
        parts: Parts::new(own, of, clock.now()),
        streams: Vec::new(),
        results: Vec::new(),
        fleet: fleet.clone(),
        of,
        clock,
    };
    gathering.run(&heard, told)?;
    let start = gathering.parts.start().unwrap_or_else(|| clock.now());
    Ok((gathering.results, gathering.parts.states().to_vec(), start))
}

struct Gathering {
    parts: Parts,
    /// Connections, and the place of those that have one.
    streams: Vec<(u64, TcpStream, Option<usize>)>,
    results: Vec<Outcome>,
    fleet: Fleet,
    of: u32,
    clock: Clock,
}

impl Gathering {
    fn run(&mut self, heard: &Receiver<Heard>, mut told: impl FnMut(usize, &Beat)) -> Result<(), String> {
        while !self.parts.done() {
            match heard.recv_timeout(Duration::from_millis(200)) {
                Ok(Heard::Came(number, stream)) => self.streams.push((number, stream, None)),
                Ok(Heard::Said(number, message)) => self.said(number, message, &mut told),
                Ok(Heard::Ended(number, why)) => self.ended(number, &why),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Err("nobody listens any more".into()),
            }
            self.parts.turn(self.clock.now())?;
        }
        Ok(())
    }

    fn ended(&mut self, number: u64, why: &str) {
        let now = self.clock.now();
        if let Some(at) = self.streams.iter().position(|stream| stream.0 == number) {
            let (_, stream, place) = self.streams.swap_remove(at);
            let _ = stream.shutdown(std::net::Shutdown::Both);
            if let Some(place) = place {
                self.parts.gone(now, place, &format!("its connection ended ({why})"));
            }
        }
    }

    fn said(&mut self, number: u64, message: Message, told: &mut impl FnMut(usize, &Beat)) {
        let now = self.clock.now();
        let Some(at) = self.streams.iter().position(|stream| stream.0 == number) else { return };
        let place = self.streams[at].2;
        match (message, place) {
            (Message::Hello(hello), None) => match self.parts.join(now, &hello) {
                Ok(part) => {
                    let given = Given { part: part as u32, of: self.of, fleet: self.fleet.clone() };
                    self.streams[at].2 = Some(part);
                    if send(&mut self.streams[at].1, &Message::Given(given)).is_err() {
                        return self.ended(number, "writing failed");
                    }
                    if let Some(start) = self.parts.start() {
                        for (_, stream, _) in self.streams.iter_mut().filter(|stream| stream.2.is_some()) {
                            // One that is gone shows at its reader.
                            let _ = send(stream, &Message::Start(start));
                        }
                    }
                }
                Err(why) => {
                    let _ = send(&mut self.streams[at].1, &Message::Refused(why));
                    self.ended(number, "refused");
                }
            },
            (Message::Beat(beat), Some(part)) => {
                self.parts.beat(now, part);
                told(part, &beat);
            }
            (Message::Result(bytes), Some(part)) => match Outcome::from_bytes(bytes) {
                Ok(outcome) => {
                    if !matches!(self.parts.states()[part], State::Missing { .. }) {
                        self.parts.reported(part);
                        self.results.push(outcome);
                    }
                }
                Err(why) => self.parts.gone(now, part, &format!("its result cannot be read: {why}")),
            },
            _ => self.ended(number, "a message out of turn"),
        }
    }
}

/// One generator's side of the load.
pub struct Joined {
    stream: TcpStream,
    pub given: Given,
    pub start: f64,
}

/// A second hold on the connection, for what is said while the load runs.
pub struct Teller(TcpStream);

impl Teller {
    /// Says how it goes. A failed write shows when the result is sent.
    pub fn beat(&mut self, beat: &Beat) {
        let _ = send(&mut self.0, &Message::Beat(beat.clone()));
    }
}

impl Joined {
    /// Joins the load gathered at `address`, and waits to be told its start.
    pub fn join(address: SocketAddr, hello: Hello) -> Result<Joined, String> {
        let place = |error: io::Error| format!("{address}: {error}");
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(10)).map_err(place)?;
        stream.set_nodelay(true).map_err(place)?;
        stream.set_read_timeout(Some(Duration::from_secs_f64(2.0 * crate::parts::COMING))).map_err(place)?;
        send(&mut stream, &Message::Hello(hello)).map_err(place)?;
        let given = match receive(&mut stream).map_err(place)? {
            Message::Given(given) if given.part < given.of => given,
            Message::Refused(why) => return Err(format!("{address}: not taken: {why}")),
            other => return Err(format!("{address}: {other:?} out of turn")),
        };
        match receive(&mut stream).map_err(place)? {
            Message::Start(start) => Ok(Joined { stream, given, start }),
            other => Err(format!("{address}: {other:?} out of turn")),
        }
    }

    pub fn teller(&self) -> Result<Teller, String> {
        self.stream.try_clone().map(Teller).map_err(|error| error.to_string())
    }

    pub fn report(mut self, outcome: &Outcome) -> Result<(), String> {
        let bytes = outcome.to_bytes()?;
        send(&mut self.stream, &Message::Result(bytes))
            .map_err(|error| format!("sending the result: {error}"))
    }
}
