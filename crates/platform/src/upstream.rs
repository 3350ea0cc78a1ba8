//! The way to the nodes: connections kept, and one task for each shot.
//!
//! A connection carries one request at a time, and the latest used goes first, as a fresh one costs the node
//! work. Before each use it is looked at: one that has ended, or that holds bytes nobody asked for, is closed.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use futures_lite::future::pending;
use futures_lite::FutureExt;
use quaypath_http::{DecodeError, ResponseDecoder, ResponseHead, ResponsePart};
use quaypath_initiator::event_loop::{read_some, run_turn, unread_bytes, with_timeout, Driver, Received};
use quaypath_initiator::outcome::Progress;

use crate::decode::{self, Told};
use crate::front::Answer;
use crate::idle_reuse::SHORTEST_REST;
use crate::instance::{Message, Node, Permit, Shot, Weakly};
use crate::outcome::Ended;
use crate::READ;

/// ResponsePart of the node's idle time after which we close first.
const IDLE_PART: f64 = 0.8;

/// What is still read of an answer once its time is up takes so long at most, seconds: a final answer counts as lost half
/// a second behind its time.
const LAST_LOOK: f64 = 0.1;

/// A connection to a node, counted while it is kept.
pub struct UpstreamConnection {
    stream: Async<TcpStream>,
    all: Rc<Cell<usize>>,
    /// The node's address and start when it was opened.
    life: (SocketAddr, f64),
    /// How long it rested before its present use; absent on its first.
    rest: Option<f64>,
}

impl UpstreamConnection {
    fn new(stream: Async<TcpStream>, life: (SocketAddr, f64), all: Rc<Cell<usize>>) -> Self {
        all.set(all.get() + 1);
        UpstreamConnection { stream, life, all, rest: None }
    }

    /// Whether it stands and holds nothing to be read.
    fn clean(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.get_ref().read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.all.set(self.all.get() - 1);
    }
}

/// Idle connections to one node, the latest used last.
#[derive(Default)]
pub struct Pool(Vec<(f64, UpstreamConnection)>);

impl Pool {
    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn put(&mut self, now: f64, upstream: UpstreamConnection) {
        self.0.push((now, upstream));
    }

    /// The latest used that has rested, for no longer than goes well, and is clean; those that are not are closed,
    /// and counted.
    fn get(&mut self, now: f64, longest: f64, stale: &mut u64) -> Option<UpstreamConnection> {
        let mut at = self.0.len();
        while at > 0 {
            at -= 1;
            let rest = now - self.0[at].0;
            if rest < SHORTEST_REST {
                continue;
            }
            let (_, mut upstream) = self.0.remove(at);
            upstream.rest = Some(rest);
            if rest < longest && upstream.clean() {
                return Some(upstream);
            }
            *stale += 1;
        }
        None
    }

    /// Closes what the node would close soon, and what it has closed.
    pub fn sweep(&mut self, now: f64, idle: f64) {
        self.0.retain(|(since, upstream)| now - since < IDLE_PART * idle && upstream.clean());
    }

    fn oldest(&self) -> Option<f64> {
        self.0.first().map(|(since, _)| *since)
    }
}

/// Closes the connection that is idle for longest, at whatever node.
fn make_room(nodes: &mut std::collections::BTreeMap<quaypath::types::NodeId, Node>) -> bool {
    let oldest = nodes.values_mut().filter(|node| node.pool.oldest().is_some());
    let oldest = oldest.min_by(|one, other| one.pool.oldest().partial_cmp(&other.pool.oldest()).unwrap());
    oldest.map(|node| node.pool.0.remove(0)).is_some()
}

/// An answer as it comes in.
struct Incoming {
    decoder: ResponseDecoder,
    head: Option<ResponseHead>,
    body: Vec<u8>,
    whole: bool,
    held: Permit,
}

impl Incoming {
    /// Takes what has come; true once the answer is whole.
    fn take(&mut self, bytes: &[u8]) -> Result<bool, DecodeError> {
        self.decoder.feed(bytes);
        while let Some(part) = self.decoder.poll()? {
            match part {
                ResponsePart::Head(head) => self.head = Some(head),
                ResponsePart::Body(more) if self.held.grow(more.len()) => self.body.extend_from_slice(&more),
                ResponsePart::Body(_) => {
                    return Err(DecodeError { status: 502, reason: "no room for the answer" })
                }
                ResponsePart::End => self.whole = true,
            }
        }
        Ok(self.whole)
    }

    /// The node has ended its sending in order: where that is how the answer ends, it is whole.
    fn finish(&mut self) -> bool {
        self.whole |= self.decoder.finish().is_some();
        self.whole
    }

    /// Whether the connection can be used once more.
    fn reusable(&self) -> bool {
        self.whole && self.decoder.trailing_bytes() == 0 && self.head.as_ref().is_some_and(|head| !head.close)
    }
}

/// A connection for a shot: one of the pool, or a fresh one within the connect time-out.
async fn connection(instance: &Weakly, shot: &Shot) -> Option<UpstreamConnection> {
    let (fresh, wait, life, all) = {
        let this = instance.upgrade()?;
        let mut this = this.borrow_mut();
        let this = &mut *this;
        let now = this.clock_now();
        let longest = this.idle_reuse.longest(now);
        let node = this.nodes.get_mut(&shot.node)?;
        if let Some(upstream) = node.pool.get(now, longest, &mut this.counts.stale) {
            return Some(upstream);
        }
        let life = node.life();
        if this.upstream_connections.get() >= this.most_upstream_connections && !make_room(&mut this.nodes) {
            return None;
        }
        this.counts.connects += 1;
        (
            Async::<TcpStream>::connect(life.0),
            this.config.waits.connect,
            life,
            this.upstream_connections.clone(),
        )
    };
    let stream = with_timeout(wait, fresh).await;
    let this = instance.upgrade()?;
    let mut this = this.borrow_mut();
    match stream {
        Ok(stream) => {
            let _ = stream.get_ref().set_nodelay(true);
            Some(UpstreamConnection::new(stream, life, all))
        }
        Err(error) => {
            this.counts.connects_failed += 1;
            tracing::debug!(node = %shot.node.0, %error, "no connection");
            None
        }
    }
}

/// Writes the request, in one piece where the kernel takes it.
async fn write(upstream: &UpstreamConnection, shot: &Shot, bytes: &[u8]) -> io::Result<()> {
    let mut sent = 0;
    while sent < bytes.len() {
        match upstream.stream.get_ref().write(&bytes[sent..]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                sent += count;
                if shot.progress() < Progress::PartlySent {
                    shot.to(Progress::PartlySent);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => upstream.stream.writable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    shot.to(Progress::Sent);
    Ok(())
}

/// Carries a shot to its end, whatever that is.
async fn fly(
    instance: &Weakly, shot: &Shot, message: &Message, used: &mut Option<UpstreamConnection>,
    incoming: &mut Incoming,
) -> Ended {
    let Some(upstream) = connection(instance, shot).await else { return Ended::Lost };
    let upstream = used.insert(upstream);
    let bytes = {
        let Some(this) = instance.upgrade() else { return Ended::Lost };
        // The node may have been listed as draining, gone, moved or started anew while its connection came up.
        let (now, shut, life) = run_turn(&this, |this| {
            (this.now, this.shut(&shot.node), this.nodes.get(&shot.node).map(Node::life))
        });
        if shut || life != Some(upstream.life) {
            return Ended::Lost;
        }
        shot.to(Progress::Queued);
        decode::shot(&message.head, &message.body, shot.stop_at - now)
    };
    let writing = async {
        match write(upstream, shot, &bytes).await {
            Ok(()) => pending().await,
            Err(_) => Ended::Lost,
        }
    };
    // An answer may come before the request's last byte: it ends the shot all the same.
    let reading = async {
        loop {
            match read_some(&upstream.stream, READ, |bytes| incoming.take(bytes)).await {
                Ok(Received::Bytes(Ok(false))) => {}
                Ok(Received::Bytes(Ok(true))) => return answered(incoming),
                Ok(Received::Bytes(Err(_))) => return Ended::Spoilt,
                Ok(Received::End) if incoming.finish() => return answered(incoming),
                Ok(Received::End) | Err(_) => return Ended::Lost,
            }
        }
    };
    writing.or(reading).await
}

fn answered(incoming: &Incoming) -> Ended {
    let Some(head) = &incoming.head else { return Ended::Spoilt };
    Ended::Answered(head.status, head.headers.single("x-not-processed") == Some("1"))
}

/// Reads what had come and was not read yet when the time was up: a standstill of ours is not the node's. What comes from
/// then on is late, and a node that sends without end must not keep the loop, so it ends with the bytes that the kernel
/// held at that moment; their number is the socket's buffer at most, and others have their turns between the reads.
async fn last_look(upstream: &UpstreamConnection, incoming: &mut Incoming) -> Option<Ended> {
    let mut left = unread_bytes(upstream.stream.get_ref()).ok()?;
    while left > 0 {
        let take = |bytes: &[u8]| (bytes.len(), incoming.take(bytes));
        match read_some(&upstream.stream, READ.min(left), take).await {
            Ok(Received::Bytes((_, Ok(true)))) => return Some(answered(incoming)),
            Ok(Received::Bytes((count, Ok(false)))) => left -= count,
            _ => return None,
        }
    }
    let ended = matches!(upstream.stream.get_ref().peek(&mut [0]), Ok(0));
    (ended && incoming.finish()).then(|| answered(incoming))
}

/// The last look, for as long as that may hold up the final answer.
async fn looked(upstream: Option<&UpstreamConnection>, incoming: &mut Incoming) -> Option<Ended> {
    let upstream = upstream?;
    with_timeout(LAST_LOOK, async { Ok(last_look(upstream, incoming).await) }).await.ok().flatten()
}

/// The task of one shot.
pub async fn shoot(instance: Weakly, shot: Rc<Shot>, message: Rc<Message>) {
    let Some((room, most)) = instance.upgrade().map(|this| this.borrow().answers()) else { return };
    let (decoder, held) = (ResponseDecoder::new(most), room.hold(0));
    let mut incoming = Incoming { decoder, head: None, body: Vec::new(), whole: false, held };
    let mut used = None;
    // What ends it from this side goes first: nothing is begun for a client that has gone by now.
    let mut ended = shot.ended().or(fly(&instance, &shot, &message, &mut used, &mut incoming)).await;
    if ended == Ended::TimeUp && shot.progress() == Progress::Sent {
        ended = looked(used.as_ref(), &mut incoming).await.unwrap_or(ended);
    }
    let Some(this) = instance.upgrade() else { return };
    let rested = used.as_ref().and_then(|upstream| upstream.rest);
    let lost = ended == Ended::Lost && incoming.head.is_none();
    // Closed, or back in the pool, before the core may send again.
    let whole = matches!(ended, Ended::Answered(..)) && shot.progress() == Progress::Sent;
    let upstream = used.take().filter(|_| whole && incoming.reusable());
    let (told, answer) = match incoming.head.take().filter(|_| incoming.whole) {
        Some(head) => {
            let told = decode::told(&head.headers, &this.borrow().config.waits.load);
            let kind = head.headers.single("content-type").map(String::from);
            (told, Some(Answer::Settled(kind, std::mem::take(&mut incoming.body), incoming.held)))
        }
        None => (Told::default(), None),
    };
    run_turn(&this, |this| {
        let now = this.now;
        rested.into_iter().for_each(|rest| this.idle_reuse.note(now, rest, lost));
        let shut = this.shut(&shot.node);
        // A node that moved or was started anew meanwhile has no use for it, nor one that drains.
        let node = this.nodes.get_mut(&shot.node).filter(|node| !shut && !node.drains());
        let known = node.zip(upstream).filter(|(node, upstream)| upstream.life == node.life());
        if let Some((node, upstream)) = known {
            node.pool.put(now, upstream);
        }
        this.returned(&shot, ended, told, answer);
    });
}
