//! A scripted storage node that records each attempt and answers according to its current behavior.

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
use crate::scenario::NodeBehavior;

/// Delay of a second answer ("some milliseconds" in the platform's specification).
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(4);
/// A second answer that would be later than this is not sent.
const SECOND_ANSWER_MAX_DELAY: Duration = Duration::from_millis(20);
/// How often a hanging node checks whether its behavior has changed.
const BEHAVIOR_POLL: Duration = Duration::from_millis(20);

/// Connections of the attempts not answered yet, over all nodes, by request id.
pub type OpenAttempts = Arc<Mutex<HashMap<String, Vec<TcpStream>>>>;

/// A scripted storage node; clones share its state.
#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    pub number: usize,
    /// Time until an answer.
    service_time: Duration,
    behavior: Arc<Mutex<NodeBehavior>>,
    /// Attempts whose service time has elapsed.
    answers: Arc<AtomicUsize>,
    open: OpenAttempts,
    recorder: Recorder,
}

impl Node {
    pub fn start(number: usize, service_time_s: f64, open: OpenAttempts, recorder: Recorder) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let service_time = Duration::from_secs_f64(service_time_s);
        let behavior = Arc::new(Mutex::new(NodeBehavior::Answers));
        let node = Node { address, number, service_time, behavior, answers: Arc::default(), open, recorder };
        let this = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, this) = (stream.expect("a connection"), this.clone());
                thread::spawn(move || this.serve(stream));
            }
        });
        node
    }

    pub fn set_behavior(&self, behavior: NodeBehavior) {
        *self.behavior.lock().expect("no panic") = behavior;
    }

    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::SeqCst)
    }

    fn behavior(&self) -> NodeBehavior {
        *self.behavior.lock().expect("no panic")
    }

    fn serve(&self, mut stream: TcpStream) {
        loop {
            let _ = stream.set_read_timeout(None);
            // An attempt begins with its first byte.
            if !stream.peek(&mut [0]).is_ok_and(|count| count > 0) {
                return;
            }
            let began = Instant::now();
            let Some((head, _)) = read_message(&mut stream) else { return };
            let id = request_id(&head).to_string();
            self.recorder.record_at(began, Event::AttemptBegan { id: id.clone(), node: self.number });
            let open_before = self.register_attempt(&id, &stream);
            self.recorder.record(Event::AttemptArrived {
                id: id.clone(),
                node: self.number,
                timeout: timeout_of(&head),
                open_before,
            });
            let usable = self.answer(&mut stream, &id);
            self.close_attempt(&id, &stream);
            if !usable {
                return;
            }
        }
    }

    /// Registers an attempt as open. Returns how many attempts of the same request were already open.
    fn register_attempt(&self, id: &str, stream: &TcpStream) -> usize {
        let mut open = self.open.lock().expect("no panic");
        let attempts = open.entry(id.to_string()).or_default();
        attempts.retain(is_open);
        let before = attempts.len();
        attempts.push(stream.try_clone().expect("a socket"));
        before
    }

    /// Removes an attempt from the open ones. It ends with the last byte of its answer; this is called before that byte is
    /// written, because the next attempt may arrive before this thread continues.
    fn close_attempt(&self, id: &str, stream: &TcpStream) {
        let mut open = self.open.lock().expect("no panic");
        let Some(attempts) = open.get_mut(id) else { return };
        let peer = stream.peer_addr().ok();
        attempts.retain(|attempt| attempt.peer_addr().ok() != peer);
        if attempts.is_empty() {
            open.remove(id);
        }
    }

    /// Answers according to the current behavior. Returns false if the connection is no longer usable.
    fn answer(&self, stream: &mut TcpStream, id: &str) -> bool {
        if !stays_open_for(stream, self.service_time) {
            return false;
        }
        self.answers.fetch_add(1, Ordering::SeqCst);
        while self.behavior() == NodeBehavior::Hangs {
            if !stays_open_for(stream, BEHAVIOR_POLL) {
                return false;
            }
        }
        match self.behavior() {
            NodeBehavior::Answers | NodeBehavior::Hangs => self.answer_success(stream, id),
            NodeBehavior::Resets => {
                reset_on_close(stream);
                false
            }
            NodeBehavior::AnswersInPieces => self.answer_in_pieces(stream, id),
            NodeBehavior::AnswersTwice => self.answer_twice(stream, id),
            NodeBehavior::AnswersError => {
                self.close_attempt(id, stream);
                write_response(stream, "500 Error", "")
            }
            NodeBehavior::Refuses => {
                self.recorder.record(Event::AttemptRefused { id: id.to_string() });
                self.close_attempt(id, stream);
                let text = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(text.as_bytes()).is_ok()
            }
            NodeBehavior::EndlessAnswer => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let piece = "1\r\nx\r\n".repeat(1 << 10);
                while self.behavior() == NodeBehavior::EndlessAnswer
                    && stream.write_all(piece.as_bytes()).is_ok()
                {}
                false
            }
        }
    }

    fn answer_success(&self, stream: &mut TcpStream, id: &str) -> bool {
        self.recorder.record(Event::AttemptServed { id: id.to_string() });
        self.close_attempt(id, stream);
        write_response(stream, "200 OK", id)
    }

    fn answer_in_pieces(&self, stream: &mut TcpStream, id: &str) -> bool {
        self.recorder.record(Event::AttemptServed { id: id.to_string() });
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        let (start, last_byte) = text.as_bytes().split_at(text.len() - 1);
        let written = start.chunks(7).all(|piece| {
            thread::sleep(Duration::from_millis(1));
            stream.write_all(piece).is_ok()
        });
        self.close_attempt(id, stream);
        written && stream.write_all(last_byte).is_ok()
    }

    fn answer_twice(&self, stream: &mut TcpStream, id: &str) -> bool {
        let mut second = stream.try_clone().expect("a socket");
        let (began, id, recorder) = (Instant::now(), id.to_string(), self.recorder.clone());
        if !self.answer_success(stream, &id) {
            return false;
        }
        thread::spawn(move || {
            thread::sleep(SECOND_ANSWER_DELAY);
            // If the machine delayed this thread, the answer would be later than "some milliseconds".
            if began.elapsed() < SECOND_ANSWER_MAX_DELAY && write_response(&mut second, "200 OK", &id) {
                recorder.record_occurrence("second answers");
            }
        });
        true
    }
}

/// The timeout that an attempt carries, seconds; infinite if it has none.
fn timeout_of(head: &str) -> f64 {
    let text = head.lines().find_map(|line| line.strip_prefix("X-Timeout: ")?.strip_suffix('u'));
    text.and_then(|text| text.parse::<f64>().ok()).map_or(f64::INFINITY, |micros| micros / 1e6)
}

/// Waits this long or until the peer sends data. Returns false if the peer has closed the connection.
fn stays_open_for(stream: &TcpStream, timeout: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(timeout.max(Duration::from_millis(1))));
    match stream.peek(&mut [0]) {
        Ok(0) => false,
        Ok(_) => true,
        Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

/// Whether the peer has not closed this connection yet.
fn is_open(stream: &TcpStream) -> bool {
    match rustix::net::recv(stream, &mut [0u8], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((0, _)) => false,
        Ok(_) => true,
        Err(error) => error == rustix::io::Errno::AGAIN,
    }
}
