//! A stand-in for a storage node that notes each attempt and answers by its mood.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::RecvFlags;

use crate::record::{Event, Recorder};
use crate::rig::{read_message, request_id, reset_on_close, write_response};
use crate::script::Mood;

/// How late a second answer comes ("some milliseconds" of the platform's page), and how late one may be to be sent at all.
const SECOND_ANSWER: Duration = Duration::from_millis(4);
const SECOND_ANSWER_MOST: Duration = Duration::from_millis(20);
/// How often one that hangs looks whether its mood has changed.
const LOOK: Duration = Duration::from_millis(20);

/// Attempts that were not answered yet, of all nodes, by the request's id.
pub type OpenAttempts = Arc<Mutex<HashMap<String, Vec<TcpStream>>>>;

#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    pub number: usize,
    service: Duration,
    mood: Arc<Mutex<Mood>>,
    /// Attempts that came to the point of an answer.
    answers: Arc<AtomicUsize>,
    open: OpenAttempts,
    recorder: Recorder,
}

impl Node {
    pub fn start(number: usize, service: f64, open: OpenAttempts, recorder: Recorder) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let service = Duration::from_secs_f64(service);
        let mood = Arc::new(Mutex::new(Mood::Settles));
        let node = Node { address, number, service, mood, answers: Arc::default(), open, recorder };
        let this = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, this) = (stream.expect("a connection"), this.clone());
                thread::spawn(move || this.serve(stream));
            }
        });
        node
    }

    pub fn set_mood(&self, mood: Mood) {
        *self.mood.lock().expect("no panic") = mood;
    }

    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::SeqCst)
    }

    fn mood(&self) -> Mood {
        *self.mood.lock().expect("no panic")
    }

    fn serve(&self, mut stream: TcpStream) {
        loop {
            let _ = stream.set_read_timeout(None);
            // The first byte gives an attempt's begin.
            if !stream.peek(&mut [0]).is_ok_and(|count| count > 0) {
                return;
            }
            let began = Instant::now();
            let Some((head, _)) = read_message(&mut stream) else { return };
            let id = request_id(&head).to_string();
            self.recorder.note_at(began, Event::AttemptBegan { id: id.clone(), node: self.number });
            let open_before = self.open(&id, &stream);
            self.recorder.note(Event::AttemptArrived {
                id: id.clone(),
                node: self.number,
                wait: wait_of(&head),
                open_before,
            });
            let goes_on = self.answer(&mut stream, &id);
            self.close(&id, &stream);
            if !goes_on {
                return;
            }
        }
    }

    /// Notes an attempt as open, and gives how many of the same request are.
    fn open(&self, id: &str, stream: &TcpStream) -> usize {
        let mut open = self.open.lock().expect("no panic");
        let same = open.entry(id.to_string()).or_default();
        same.retain(stands);
        let before = same.len();
        same.push(stream.try_clone().expect("a socket"));
        before
    }

    /// An attempt is over with the last byte of its answer: called before that is written, as the next attempt may come before
    /// this thread goes on.
    fn close(&self, id: &str, stream: &TcpStream) {
        let mut open = self.open.lock().expect("no panic");
        let Some(same) = open.get_mut(id) else { return };
        let peer = stream.peer_addr().ok();
        same.retain(|one| one.peer_addr().ok() != peer);
        if same.is_empty() {
            open.remove(id);
        }
    }

    /// Answers, or does not; false where the connection is of no more use.
    fn answer(&self, stream: &mut TcpStream, id: &str) -> bool {
        if !waits(stream, self.service) {
            return false;
        }
        self.answers.fetch_add(1, Ordering::SeqCst);
        while self.mood() == Mood::Hangs {
            if !waits(stream, LOOK) {
                return false;
            }
        }
        match self.mood() {
            Mood::Settles | Mood::Hangs => self.settle(stream, id),
            Mood::Resets => {
                reset_on_close(stream);
                false
            }
            Mood::Pieces => self.settle_by_pieces(stream, id),
            Mood::AnswersTwice => self.settle_twice(stream, id),
            Mood::Fails => {
                self.close(id, stream);
                write_response(stream, "500 Error", "")
            }
            Mood::TurnsAway => {
                self.recorder.note(Event::TurnedAway { id: id.to_string() });
                self.close(id, stream);
                let text = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(text.as_bytes()).is_ok()
            }
            Mood::Endless => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let piece = "1\r\nx\r\n".repeat(1 << 10);
                while self.mood() == Mood::Endless && stream.write_all(piece.as_bytes()).is_ok() {}
                false
            }
        }
    }

    fn settle(&self, stream: &mut TcpStream, id: &str) -> bool {
        self.recorder.note(Event::Served { id: id.to_string() });
        self.close(id, stream);
        write_response(stream, "200 OK", id)
    }

    fn settle_by_pieces(&self, stream: &mut TcpStream, id: &str) -> bool {
        self.recorder.note(Event::Served { id: id.to_string() });
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        let (begin, last) = text.as_bytes().split_at(text.len() - 1);
        let begun = begin.chunks(7).all(|piece| {
            thread::sleep(Duration::from_millis(1));
            stream.write_all(piece).is_ok()
        });
        self.close(id, stream);
        begun && stream.write_all(last).is_ok()
    }

    fn settle_twice(&self, stream: &mut TcpStream, id: &str) -> bool {
        let mut second = stream.try_clone().expect("a socket");
        let (began, id, recorder) = (Instant::now(), id.to_string(), self.recorder.clone());
        if !self.settle(stream, &id) {
            return false;
        }
        thread::spawn(move || {
            thread::sleep(SECOND_ANSWER);
            // A machine that overslept makes it too late to be one of some milliseconds.
            if began.elapsed() < SECOND_ANSWER_MOST && write_response(&mut second, "200 OK", &id) {
                recorder.strike("second answers");
            }
        });
        true
    }
}

/// What an attempt says that it waits, seconds.
fn wait_of(head: &str) -> f64 {
    let text = head.lines().find_map(|line| line.strip_prefix("X-Timeout: ")?.strip_suffix('u'));
    text.and_then(|text| text.parse::<f64>().ok()).map_or(f64::INFINITY, |micros| micros / 1e6)
}

/// Waits for so long; false once the peer has ended the connection.
fn waits(stream: &TcpStream, lasts: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(lasts.max(Duration::from_millis(1))));
    match stream.peek(&mut [0]) {
        Ok(0) => false,
        Ok(_) => true,
        Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

/// Whether the peer has not ended this connection yet.
fn stands(stream: &TcpStream) -> bool {
    match rustix::net::recv(stream, &mut [0u8], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((0, _)) => false,
        Ok(_) => true,
        Err(error) => error == rustix::io::Errno::AGAIN,
    }
}
