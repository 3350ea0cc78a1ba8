//! Discovery: the whole list, then the watch on it, one object a line.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use quaypath_http::{Part, ResponseDecoder};
use quaypath_initiator::turns::{read_some, turn, within, Came};
use serde::Deserialize;
use tracing::{debug, info, warn};

use crate::instance::{Shared, Weakly};

/// A call is up, and its answer begins, within so many seconds.
const CALL: f64 = 1.0;
/// A watch that says nothing for so long is replaced: an empty line comes every 2 s.
const SILENT: f64 = 4.5;
/// Waits between two calls that failed, seconds: doubled from the first to the second.
const FIRST_WAIT: f64 = 0.1;
const LAST_WAIT: f64 = 1.5;
/// Longest list or line, bytes.
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

/// Keeps the list up to date from one address, for as long as no other one has taken its place.
pub async fn follow(instance: Weakly, address: SocketAddr, source: u64) {
    let mut wait = FIRST_WAIT;
    // What is known is another address's word until this one has told its whole list.
    let mut whole = source > 0;
    loop {
        let must_ask = {
            let Some(this) = instance.upgrade() else { return };
            let this = this.borrow();
            this.config.core.must_ask.then(|| this.asked.clone())
        };
        // Where the core has to ask, so is each new try.
        if let Some(asked) = must_ask {
            asked.wait().await;
        }
        let mut heard = false;
        let ended = session(&instance, address, source, &mut whole, &mut heard).await;
        let Some(this) = instance.upgrade() else { return };
        if this.borrow().source > source {
            return info!(%address, "this discovery address has been replaced");
        }
        match ended {
            Ok(()) => debug!(%address, "discovery ended a watch"),
            Err(error) => debug!(%address, %error, "discovery"),
        }
        wait = if heard { FIRST_WAIT } else { (wait * 2.0).min(LAST_WAIT) };
        let pause = turn(&this, |this| {
            this.discovery_failed();
            this.spread(wait)
        });
        drop(this);
        Timer::after(Duration::from_secs_f64(pause)).await;
    }
}

async fn call(address: SocketAddr, path: &str, close: bool) -> io::Result<Async<TcpStream>> {
    within(CALL, async {
        let stream = Async::<TcpStream>::connect(address).await?;
        let close = if close { "Connection: close\r\n" } else { "" };
        let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n{close}\r\n");
        let mut writer = &stream;
        writer.write_all(text.as_bytes()).await?;
        Ok(stream)
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
    async fn next(&mut self, patience: f64) -> io::Result<Part> {
        loop {
            if let Some(part) = self.decoder.poll().map_err(bad)? {
                match &part {
                    Part::Head(head) if head.status != 200 => {
                        return Err(bad(format!("status {}", head.status)))
                    }
                    _ => return Ok(part),
                }
            }
            let decoder = &mut self.decoder;
            let read = read_some(&self.stream, |bytes| decoder.feed(bytes));
            if let Came::End = within(patience, read).await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// One watch, with the whole list before it where that is needed.
async fn session(
    instance: &Weakly, address: SocketAddr, source: u64, whole: &mut bool, heard: &mut bool,
) -> io::Result<()> {
    if *whole {
        let stream = call(address, "/discovery/hosts", true).await?;
        let mut answer = Answer { stream, decoder: ResponseDecoder::new(MOST) };
        let mut text = Vec::new();
        loop {
            match answer.next(CALL).await? {
                Part::Head(_) => {}
                Part::Body(more) => text.extend(more),
                Part::End => break,
            }
        }
        let mut listing: Listing = serde_json::from_slice(&text).map_err(bad)?;
        listing.snapshot = true;
        tell(instance, source, &listing)?;
        (*whole, *heard) = (false, true);
    }
    let from = instance.upgrade().ok_or(io::ErrorKind::NotConnected)?.borrow().index;
    let stream = call(address, &format!("/discovery/hosts?watch=1&from={from}"), false).await?;
    let mut answer = Answer { stream, decoder: ResponseDecoder::new(usize::MAX) };
    let mut line = Vec::new();
    let mut patience = CALL;
    loop {
        match answer.next(patience).await? {
            Part::Head(_) => patience = SILENT,
            Part::End => return Ok(()),
            Part::Body(more) => {
                *heard = true;
                let mut rest = &more[..];
                while let Some(at) = rest.iter().position(|byte| *byte == b'\n') {
                    line.extend_from_slice(&rest[..at]);
                    rest = &rest[at + 1..];
                    let text = std::mem::take(&mut line);
                    if text.trim_ascii().is_empty() {
                        continue;
                    }
                    let listing: Listing = serde_json::from_slice(&text).map_err(|error| {
                        warn!(%error, "a line of discovery cannot be read; the whole list is taken");
                        *whole = true;
                        bad(error)
                    })?;
                    if !tell(instance, source, &listing)? {
                        *whole = true;
                        return Err(bad("a version of before the known one"));
                    }
                }
                line.extend_from_slice(rest);
                if line.len() > MOST {
                    *whole = true;
                    return Err(bad("a line is too long"));
                }
            }
        }
    }
}

/// Hands a listing on, if this address still is the one that is heard; a newer one takes over with its first list.
fn tell(instance: &Weakly, source: u64, listing: &Listing) -> io::Result<bool> {
    let this: Shared = instance.upgrade().ok_or(io::ErrorKind::NotConnected)?;
    if this.borrow().source > source {
        return Err(bad("replaced"));
    }
    Ok(turn(&this, |this| {
        this.source = source;
        this.news(listing)
    }))
}
