//! The way to the nodes: connections kept, and one task for each shot.
//!
//! A connection carries one request at a time, and the latest used goes first, as a fresh one costs the node
//! work. Before each use it is looked at: one that has ended, or that holds bytes nobody asked for, is closed.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future::pending;
use futures_lite::FutureExt;
use quaypath::ring::Ring;
use quaypath_http::{Part, Refused, ResponseDecoder, ResponseHead};
use quaypath_initiator::outcome::Progress;
use quaypath_initiator::turns::{read_now, read_some, turn, within, Came, Turns};

use crate::decode::{self, Told};
use crate::front::Answer;
use crate::instance::{Held, Message, Node, Shot, Weakly};
use crate::outcome::Ended;

/// How long a connection rests after an answer before it is used again, seconds: a second answer right behind the
/// first has come by then, and is seen.
const REST: f64 = 0.001;
/// Connections may be dropped far sooner than the settings say, and without a word: by whoever keeps track of them on
/// the way. Then those that rested for longer than what goes well are not used. Rests are told apart by doubling from
/// [`REST`]; a kind goes badly where more than this share was lost under its request, among so many uses that are
/// taken to have gone well. A lost request costs far more than a fresh connection, but not twice in ten.
const BADLY: f64 = 0.1;
const WELL: f64 = 20.0;
const RESTS: usize = 16;
/// Part of the node's idle time after which we close first.
const IDLE_PART: f64 = 0.8;

/// How connections fared of late, by how long they had rested before their use.
pub struct Rests(Vec<Ring>);

impl Default for Rests {
    fn default() -> Self {
        Rests(vec![Ring::new(3.0, 5); RESTS])
    }
}

impl Rests {
    pub fn note(&mut self, now: f64, rest: f64, lost: bool) {
        let kind = (rest / REST).max(1.0).log2() as usize;
        self.0[kind.min(RESTS - 1)].add(now, f64::from(u8::from(lost)), 1.0);
    }

    /// The rest past which a connection is not used, seconds.
    pub fn longest(&mut self, now: f64) -> f64 {
        let bad = self.0.iter_mut().position(|kind| kind.blend(now, 0.0, WELL) > BADLY);
        bad.map_or(f64::INFINITY, |kind| REST * f64::powi(2.0, kind as i32))
    }
}

/// A connection to a node, counted while it is kept.
pub struct Back {
    stream: Async<TcpStream>,
    all: Rc<Cell<usize>>,
    /// How long it rested before its present use; absent on its first.
    rest: Option<f64>,
}

impl Back {
    fn new(stream: Async<TcpStream>, all: Rc<Cell<usize>>) -> Self {
        all.set(all.get() + 1);
        Back { stream, all, rest: None }
    }

    /// Whether it stands and holds nothing to be read.
    fn clean(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.get_ref().read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Drop for Back {
    fn drop(&mut self) {
        self.all.set(self.all.get() - 1);
    }
}

/// Idle connections to one node, the latest used last.
#[derive(Default)]
pub struct Pool(Vec<(f64, Back)>);

impl Pool {
    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn put(&mut self, now: f64, back: Back) {
        self.0.push((now, back));
    }

    /// The latest used that has rested, for no longer than goes well, and is clean; those that are not are closed,
    /// and counted.
    fn get(&mut self, now: f64, longest: f64, stale: &mut u64) -> Option<Back> {
        let mut at = self.0.len();
        while at > 0 {
            at -= 1;
            let rest = now - self.0[at].0;
            if rest < REST {
                continue;
            }
            let (_, mut back) = self.0.remove(at);
            back.rest = Some(rest);
            if rest < longest && back.clean() {
                return Some(back);
            }
            *stale += 1;
        }
        None
    }

    /// Closes what the node would close soon, and what it has closed.
    pub fn sweep(&mut self, now: f64, idle: f64) {
        self.0.retain(|(since, back)| now - since < IDLE_PART * idle && back.clean());
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
    held: Held,
}

impl Incoming {
    /// Takes what has come; true once the answer is whole.
    fn take(&mut self, bytes: &[u8]) -> Result<bool, Refused> {
        self.decoder.feed(bytes);
        while let Some(part) = self.decoder.poll()? {
            match part {
                Part::Head(head) => self.head = Some(head),
                Part::Body(more) if self.held.grow(more.len()) => self.body.extend_from_slice(&more),
                Part::Body(_) => return Err(Refused { status: 502, why: "no room for the answer" }),
                Part::End => self.whole = true,
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
        self.whole && self.decoder.behind() == 0 && self.head.as_ref().is_some_and(|head| !head.close)
    }
}

/// A connection for a shot: one of the pool, or a fresh one within the connect time-out.
async fn connection(instance: &Weakly, shot: &Shot) -> Option<Back> {
    let (fresh, wait, all) = {
        let this = instance.upgrade()?;
        let mut this = this.borrow_mut();
        let this = &mut *this;
        let now = this.clock_now();
        let longest = this.rests.longest(now);
        let node = this.nodes.get_mut(&shot.node)?;
        if let Some(back) = node.pool.get(now, longest, &mut this.counts.stale) {
            return Some(back);
        }
        let address = node.address;
        if this.backs.get() >= this.most_backs && !make_room(&mut this.nodes) {
            return None;
        }
        this.counts.connects += 1;
        (Async::<TcpStream>::connect(address), this.config.waits.connect, this.backs.clone())
    };
    let stream = within(wait, fresh).await;
    let this = instance.upgrade()?;
    let mut this = this.borrow_mut();
    match stream {
        Ok(stream) => {
            let _ = stream.get_ref().set_nodelay(true);
            Some(Back::new(stream, all))
        }
        Err(error) => {
            this.counts.connects_failed += 1;
            tracing::debug!(node = %shot.node.0, %error, "no connection");
            None
        }
    }
}

/// Writes the request, in one piece where the kernel takes it.
async fn write(back: &Back, shot: &Shot, bytes: &[u8]) -> io::Result<()> {
    let mut sent = 0;
    while sent < bytes.len() {
        match back.stream.get_ref().write(&bytes[sent..]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                sent += count;
                if shot.progress() < Progress::Leaving {
                    shot.to(Progress::Leaving);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => back.stream.writable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    shot.to(Progress::Out);
    Ok(())
}

/// Carries a shot to its end, whatever that is.
async fn fly(
    instance: &Weakly, shot: &Shot, message: &Message, used: &mut Option<Back>, incoming: &mut Incoming,
) -> Ended {
    let Some(back) = connection(instance, shot).await else { return Ended::Lost };
    let back = used.insert(back);
    let bytes = {
        let Some(this) = instance.upgrade() else { return Ended::Lost };
        // The node may have been listed as draining, or as gone, while its connection came up.
        let (now, shut) = turn(&this, |this| (this.now, this.shut(&shot.node)));
        if shut {
            return Ended::Lost;
        }
        shot.to(Progress::Queued);
        decode::shot(&message.head, &message.body, shot.stop_at - now)
    };
    let writing = async {
        match write(back, shot, &bytes).await {
            Ok(()) => pending().await,
            Err(_) => Ended::Lost,
        }
    };
    // An answer may come before the request's last byte: it ends the shot all the same.
    let reading = async {
        loop {
            match read_some(&back.stream, |bytes| incoming.take(bytes)).await {
                Ok(Came::Bytes(Ok(false))) => {}
                Ok(Came::Bytes(Ok(true))) => return answered(incoming),
                Ok(Came::Bytes(Err(_))) => return Ended::Spoilt,
                Ok(Came::End) if incoming.finish() => return answered(incoming),
                Ok(Came::End) | Err(_) => return Ended::Lost,
            }
        }
    };
    writing.or(reading).await
}

fn answered(incoming: &Incoming) -> Ended {
    let Some(head) = &incoming.head else { return Ended::Spoilt };
    Ended::Answered(head.status, head.headers.one("x-not-processed") == Some("1"))
}

/// What has come and was not read yet when the time was up: a standstill of ours is not the node's.
fn last_look(back: &Back, incoming: &mut Incoming) -> Option<Ended> {
    loop {
        match read_now(back.stream.get_ref(), |bytes| incoming.take(bytes)) {
            Ok(Some(Came::Bytes(Ok(false)))) => {}
            Ok(Some(Came::Bytes(Ok(true)))) => return Some(answered(incoming)),
            Ok(Some(Came::End)) if incoming.finish() => return Some(answered(incoming)),
            _ => return None,
        }
    }
}

/// The task of one shot.
pub async fn shoot(instance: Weakly, shot: Rc<Shot>, message: Rc<Message>) {
    let Some((room, most)) = instance.upgrade().map(|this| this.borrow().answers()) else { return };
    let (decoder, held) = (ResponseDecoder::new(most), room.hold(0));
    let mut incoming = Incoming { decoder, head: None, body: Vec::new(), whole: false, held };
    let mut used = None;
    let mut ended = fly(&instance, &shot, &message, &mut used, &mut incoming).or(shot.ended()).await;
    if ended == Ended::TimeUp && shot.progress() == Progress::Out {
        let looked = used.as_ref().and_then(|back| last_look(back, &mut incoming));
        ended = looked.unwrap_or(ended);
    }
    let Some(this) = instance.upgrade() else { return };
    let rested = used.as_ref().and_then(|back| back.rest);
    let lost = ended == Ended::Lost && incoming.head.is_none();
    // Closed, or back in the pool, before the core may send again.
    let back = used.take().filter(|_| matches!(ended, Ended::Answered(..)) && incoming.reusable());
    let (told, answer) = match incoming.head.take().filter(|_| incoming.whole) {
        Some(head) => {
            let told = decode::told(&head.headers, &this.borrow().config.waits.load);
            let kind = head.headers.one("content-type").map(String::from);
            (told, Some(Answer::Settled(kind, std::mem::take(&mut incoming.body), incoming.held)))
        }
        None => (Told::default(), None),
    };
    turn(&this, |this| {
        let now = this.now;
        rested.into_iter().for_each(|rest| this.rests.note(now, rest, lost));
        let shut = this.shut(&shot.node);
        if let Some((node, back)) = this.nodes.get_mut(&shot.node).filter(|_| !shut).zip(back) {
            node.pool.put(now, back);
        }
        this.returned(&shot, ended, told, answer);
    });
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// Of each ten uses so many were lost, by the rest before: which rest is the longest that is used.
    #[test_case(&[], f64::INFINITY; "nothing known")]
    #[test_case(&[(0.002, 0), (0.5, 0)], f64::INFINITY; "all went well")]
    #[test_case(&[(0.003, 1), (0.02, 0), (0.2, 1)], f64::INFINITY; "a few lost after any rest: no reason to rest less")]
    #[test_case(&[(0.003, 0), (0.02, 0), (0.2, 4), (0.5, 5)], 0.128; "lost after long rests")]
    fn rests(uses: &[(f64, usize)], longest: f64) {
        let mut rests = Rests::default();
        for (rest, lost) in uses {
            for at in 0..100 {
                rests.note(10.0, *rest, at % 10 < *lost);
            }
        }
        let found = rests.longest(10.0);
        assert!(found == longest || (found - longest).abs() < 1e-9, "{found}");
        // What was long ago says nothing.
        assert_eq!(rests.longest(40.0), f64::INFINITY);
    }
}
