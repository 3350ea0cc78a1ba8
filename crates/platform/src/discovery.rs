//! Discovery: the whole list, then the watch on it, one object a line.

use std::future::{poll_fn, Future};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quaypath_http::{ResponseDecoder, ResponsePart};
use quaypath_initiator::event_loop::{read_some, run_turn, with_timeout, Received};
use quaypath_initiator::polls::yield_if_spent;
use serde::Deserialize;
use tracing::{debug, info, warn};

use crate::instance::{Shared, Weakly};
use crate::objects::{self, Objects};
use crate::READ;

/// A call is up, and its answer begins, within so many seconds; a whole list has come within the second figure.
const CALL: f64 = 0.6;
const LIST: f64 = 1.5;
/// A watch that ends no object and no line for so long is replaced: a line comes every 2 s at the least. What a watch
/// misses counts as told 6 s after it fell silent.
const SILENT: f64 = 2.6;
/// While the list is not had, a further call begins every so many seconds, whether those before hang, were refused or
/// failed. What discovery learns while it is down counts at once when it is back, and a node that drains then is kept
/// within the settings' grace: a part of that is the pace, within these bounds. The agent answers at once and at no cost.
const PACE: f64 = 0.2;
const QUICKEST: f64 = 0.05;
const GRACE_PART: f64 = 0.25;
/// Most calls under way to one address, as each takes a descriptor.
const CALLS: usize = 4;
/// Longest list or object, bytes.
const MOST: usize = 4 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    InService,
    Terminating,
    Terminated,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Endpoint {
    pub name: String,
    pub address: String,
    #[serde(default)]
    pub group: i64,
    pub status: Status,
    #[serde(default)]
    pub weight: f64,
    /// When it started, milliseconds since 1970; 0: long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// A list or the changes to one.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Listing {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

/// Keeps the list up to date from one address, until another one has taken its place.
pub async fn watch_loop(instance: Weakly, address: SocketAddr, source: u64) {
    loop {
        let grace = instance.upgrade().map(|this| this.borrow().config.waits.drain_grace);
        let Some(pace) = grace.map(|grace| (grace * GRACE_PART).clamp(QUICKEST, PACE)) else { return };
        let next = Timer::after(Duration::from_secs_f64(pace));
        let ended = watch_session(&instance, address, source, pace).await;
        let Some(this) = instance.upgrade() else { return };
        if !this.borrow().heeds(source) {
            return info!(%address, "this discovery address has been replaced");
        }
        match ended {
            Ok(()) => debug!(%address, "discovery ended a watch"),
            Err(error) => debug!(%address, %error, "discovery"),
        }
        this.borrow_mut().counts.discovery_lost += 1;
        drop(this);
        next.await;
    }
}

/// The whole list, by the first of several calls that has it.
async fn whole_list(instance: &Weakly, address: SocketAddr, source: u64, pace: f64) -> io::Result<Listing> {
    let mut calls: Vec<Pin<Box<dyn Future<Output = io::Result<Listing>>>>> = Vec::new();
    loop {
        if instance.upgrade().is_none_or(|this| !this.borrow().heeds(source)) {
            return Err(bad("replaced"));
        }
        if calls.len() >= CALLS {
            // The oldest may be in the middle of a long list: that goes on until its own time is up.
            drop(calls.remove(1));
        }
        calls.push(Box::pin(list(address)));
        let first = poll_fn(|context| {
            let mut had = None;
            calls.retain_mut(|call| match call.as_mut().poll(context) {
                Poll::Pending => true,
                Poll::Ready(Ok(listing)) => {
                    had = Some(listing);
                    false
                }
                Poll::Ready(Err(error)) => {
                    debug!(%address, %error, "a call to discovery");
                    false
                }
            });
            had.map_or(Poll::Pending, |listing| Poll::Ready(Some(listing)))
        });
        let next = async {
            Timer::after(Duration::from_secs_f64(pace)).await;
            None
        };
        if let Some(listing) = first.or(next).await {
            return Ok(listing);
        }
        if let Some(this) = instance.upgrade() {
            this.borrow_mut().counts.discovery_lost += 1;
        }
    }
}

async fn list(address: SocketAddr) -> io::Result<Listing> {
    let mut answer = call(address, "/discovery/hosts", true, MOST).await?;
    let text = with_timeout(LIST, async {
        let mut text = Vec::new();
        while let ResponsePart::Body(more) = answer.next().await? {
            text.extend(more);
        }
        Ok(text)
    });
    let mut listing: Listing = serde_json::from_slice(&text.await?).map_err(bad)?;
    listing.snapshot = true;
    Ok(listing)
}

/// Calls, and has the answer's head.
async fn call(address: SocketAddr, path: &str, close: bool, most: usize) -> io::Result<Answer> {
    with_timeout(CALL, async {
        let stream = Async::<TcpStream>::connect(address).await?;
        let close = if close { "Connection: close\r\n" } else { "" };
        let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n{close}\r\n");
        let mut writer = &stream;
        writer.write_all(text.as_bytes()).await?;
        let mut answer = Answer { stream, decoder: ResponseDecoder::new(most) };
        match answer.next().await? {
            ResponsePart::Head(head) if head.status == 200 => Ok(answer),
            ResponsePart::Head(head) => Err(bad(format!("status {}", head.status))),
            _ => Err(bad("no head")),
        }
    })
    .await
}

fn bad(what: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// Takes parts of an answer; the answer's end is an end of the connection's use too.
struct Answer {
    stream: Async<TcpStream>,
    decoder: ResponseDecoder,
}

impl Answer {
    async fn next(&mut self) -> io::Result<ResponsePart> {
        loop {
            if let Some(part) = self.decoder.poll().map_err(bad)? {
                return Ok(part);
            }
            let decoder = &mut self.decoder;
            if let Received::End = read_some(&self.stream, READ, |bytes| decoder.feed(bytes)).await? {
                return self.decoder.finish().ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// The whole list, then the watch on it until that ends or falls silent. The list first, each time: what is known is of
/// before, or another address's word, and the changes that a watch begins with do not tell for how long they hold.
async fn watch_session(instance: &Weakly, address: SocketAddr, source: u64, pace: f64) -> io::Result<()> {
    let listing = whole_list(instance, address, source, pace).await?;
    apply(instance, source, &listing)?;
    let path = format!("/discovery/hosts?watch=1&from={}", listing.index);
    let mut answer = call(address, &path, false, usize::MAX).await?;
    let mut objects = Objects::new(MOST);
    loop {
        // Bytes alone are no sign of life: what drips without an end of a line is as silent as what is silent.
        let parts = with_timeout(SILENT, async {
            loop {
                let ResponsePart::Body(bytes) = answer.next().await? else { return Ok(None) };
                let parts = objects.feed(&bytes).map_err(unread)?;
                if !parts.is_empty() {
                    return Ok(Some(parts));
                }
            }
        });
        let Some(parts) = parts.await? else { return Ok(()) };
        for part in parts {
            // What one read brought may hold thousands of them.
            yield_if_spent().await;
            let objects::Part::Object(text) = part else { continue };
            let listing: Listing = serde_json::from_slice(&text).map_err(unread)?;
            if !apply(instance, source, &listing)? {
                return Err(bad("a version of before the known one"));
            }
        }
    }
}

fn unread(error: impl ToString) -> io::Error {
    let error = error.to_string();
    warn!(error, "what a watch of discovery brought cannot be read; the whole list is taken");
    bad(error)
}

/// Hands a listing on, if this address still is the one that is heard; a newer one takes over with its first list.
fn apply(instance: &Weakly, source: u64, listing: &Listing) -> io::Result<bool> {
    let this: Shared = instance.upgrade().ok_or(io::ErrorKind::NotConnected)?;
    if !this.borrow().heeds(source) {
        return Err(bad("replaced"));
    }
    Ok(run_turn(&this, |this| {
        this.source = source;
        this.news(listing)
    }))
}
