//! Connections to the nodes: a pool of idle connections for each node, and one task for each shot.
//!
//! A connection carries one request at a time. The most recently used connection of a pool is reused first; a fresh
//! connection costs the node work. A connection is checked before each use: one that has ended, or that holds unrequested
//! bytes, is closed.

use std::cell::Cell;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::future::pending;
use futures_lite::FutureExt;
use quaypath_initiator::event_loop::{read_some, run_turn, unread_bytes, with_timeout, Driver, Received};
use quaypath_initiator::outcome::Progress;

use crate::front::FinalAnswer;
use crate::headers::{self, NodeReport};
use crate::idle_reuse::MIN_IDLE_TIME;
use crate::incoming::{IncomingResponse, Reception};
use crate::instance::{ForwardedRequest, Shot, WeakInstance};
use crate::memory::{MemoryAccount, MemoryKind, MemoryPermit, SMALL_BYTES};
use crate::node_table::{Node, NodeTable};
use crate::outcome::ShotEnd;
use crate::{vectored, MAX_READ_BYTES};

/// The gateway closes an idle connection after this share of the node's idle timeout, before the node closes it.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;

/// Longest time for reading what remains of a response after the timeout of its shot, seconds. A final answer counts as
/// lost half a second after its time.
const LAST_READ_TIMEOUT: f64 = 0.1;

/// Length of the first read of a response, bytes: its head, and all of a short response. The rest stays in the kernel until
/// there is memory for it.
const FIRST_READ_BYTES: usize = SMALL_BYTES;

/// A connection to a node. It is counted in the number of all connections to nodes until it is dropped.
pub struct UpstreamConnection {
    stream: Async<TcpStream>,
    /// Number of connections to all nodes.
    count: Rc<Cell<usize>>,
    /// The node's incarnation when the connection was opened.
    incarnation: (SocketAddr, f64),
    /// How long it was idle before its current use, seconds; `None` for the first use.
    idle_time: Option<f64>,
}

impl UpstreamConnection {
    fn new(stream: Async<TcpStream>, incarnation: (SocketAddr, f64), count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        UpstreamConnection { stream, incarnation, count, idle_time: None }
    }

    /// Makes its close drop what the kernel has not sent yet. An orderly close would come behind that, at the pace of the node.
    fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Whether it is open and has no bytes to read.
    fn is_clean(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.get_ref().read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// Idle connections to one node with the time since when each is idle; the most recently used is last.
#[derive(Default)]
pub struct Pool(Vec<(f64, UpstreamConnection)>);

impl Pool {
    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn put(&mut self, now: f64, upstream: UpstreamConnection) {
        self.0.push((now, upstream));
    }

    /// Takes the most recently used connection that was idle long enough, not longer than `max_idle_time` seconds, and is
    /// clean. Connections that were idle for too long or are not clean are closed and counted in `stale`.
    fn get(&mut self, now: f64, max_idle_time: f64, stale: &mut u64) -> Option<UpstreamConnection> {
        let mut index = self.0.len();
        while index > 0 {
            index -= 1;
            let idle_time = now - self.0[index].0;
            if idle_time < MIN_IDLE_TIME {
                continue;
            }
            let (_, mut upstream) = self.0.remove(index);
            upstream.idle_time = Some(idle_time);
            if idle_time < max_idle_time && upstream.is_clean() {
                return Some(upstream);
            }
            *stale += 1;
        }
        None
    }

    /// Closes connections that the node has closed, or is about to close after its idle timeout of `idle_timeout` seconds.
    pub fn sweep(&mut self, now: f64, idle_timeout: f64) {
        self.0.retain(|(idle_since, upstream)| {
            now - idle_since < IDLE_TIMEOUT_SHARE * idle_timeout && upstream.is_clean()
        });
    }

    fn oldest(&self) -> Option<f64> {
        self.0.first().map(|(idle_since, _)| *idle_since)
    }
}

/// Closes the connection that is idle for longest among the pools of all nodes; false if there is none.
fn close_oldest_idle(nodes: &mut NodeTable) -> bool {
    let oldest = nodes.values_mut().filter(|node| node.pool.oldest().is_some());
    let oldest = oldest.min_by(|left, right| left.pool.oldest().partial_cmp(&right.pool.oldest()).unwrap());
    oldest.map(|node| node.pool.0.remove(0)).is_some()
}

/// A connection for a shot: one from the pool, or a fresh one within the connect timeout.
async fn connection(instance: &WeakInstance, shot: &Shot) -> Option<UpstreamConnection> {
    let (connecting, timeout, incarnation, count) = {
        let this = instance.upgrade()?;
        let mut this = this.borrow_mut();
        let this = &mut *this;
        let now = this.clock_now();
        let max_idle_time = this.idle_reuse.max_idle_time(now);
        let node = this.nodes.get_mut(&shot.node)?;
        if let Some(upstream) = node.pool.get(now, max_idle_time, &mut this.counts.stale) {
            return Some(upstream);
        }
        let incarnation = node.incarnation();
        if this.upstream_connections.get() >= this.max_upstream_connections
            && !close_oldest_idle(&mut this.nodes)
        {
            return None;
        }
        this.counts.connects += 1;
        (
            Async::<TcpStream>::connect(incarnation.0),
            this.config.transport.connect_timeout,
            incarnation,
            this.upstream_connections.clone(),
        )
    };
    let stream = with_timeout(timeout, connecting).await;
    let this = instance.upgrade()?;
    let mut this = this.borrow_mut();
    match stream {
        Ok(stream) => {
            let _ = stream.get_ref().set_nodelay(true);
            Some(UpstreamConnection::new(stream, incarnation, count))
        }
        Err(error) => {
            this.counts.connects_failed += 1;
            tracing::debug!(node = %shot.node.0, %error, "cannot connect to the node");
            None
        }
    }
}

/// Writes the request of a shot.
async fn write(
    upstream: &UpstreamConnection, shot: &Shot, request: &ForwardedRequest, shot_headers: &str,
) -> io::Result<()> {
    let partly_sent = || {
        if shot.progress() < Progress::PartlySent {
            shot.advance_to(Progress::PartlySent);
        }
    };
    let buffers = [&request.head, shot_headers.as_bytes(), &request.body];
    vectored::write_all(&upstream.stream, buffers, partly_sent).await?;
    shot.advance_to(Progress::Sent);
    Ok(())
}

/// Sends a shot on a connection, which is put into `used`, and receives its response into `incoming`.
async fn send_and_receive(
    instance: &WeakInstance, shot: &Shot, request: Rc<ForwardedRequest>,
    used: &mut Option<UpstreamConnection>, incoming: &mut IncomingResponse,
) -> ShotEnd {
    let Some(upstream) = connection(instance, shot).await else { return ShotEnd::ConnectionLost };
    let upstream = used.insert(upstream);
    let shot_headers = {
        let Some(this) = instance.upgrade() else { return ShotEnd::ConnectionLost };
        // While the connection was established, the node may have been listed as draining or removed, or may have moved or
        // restarted.
        let (now, closed, incarnation) = run_turn(&this, |this| {
            (this.now, this.is_closed(&shot.node), this.nodes.get(&shot.node).map(Node::incarnation))
        });
        if closed || incarnation != Some(upstream.incarnation) {
            return ShotEnd::ConnectionLost;
        }
        shot.advance_to(Progress::Queued);
        headers::encode_shot_headers(&request.head, &request.body, shot.stop_at - now)
    };
    let writing = async {
        let written = write(upstream, shot, &request, &shot_headers).await;
        drop(request);
        match written {
            Ok(()) => pending().await,
            Err(_) => ShotEnd::ConnectionLost,
        }
    };
    // A response may arrive before the request is fully sent. It ends the shot as well.
    writing.or(receive_response(instance, shot, upstream, incoming)).await
}

/// Receives the response of a shot.
async fn receive_response(
    instance: &WeakInstance, shot: &Shot, upstream: &UpstreamConnection, incoming: &mut IncomingResponse,
) -> ShotEnd {
    loop {
        let max_bytes = if incoming.head.is_none() { FIRST_READ_BYTES } else { MAX_READ_BYTES };
        let mut reception =
            match read_some(&upstream.stream, max_bytes, |bytes| incoming.receive(bytes)).await {
                Ok(Received::Bytes(reception)) => reception,
                Ok(Received::End) if incoming.finish() => return end_of_response(incoming),
                Ok(Received::End) | Err(_) => return ShotEnd::ConnectionLost,
            };
        if let Ok(Reception::NeedsMemory(bytes)) = reception {
            let Some(permit) = wait_for_memory(instance, shot, bytes).await else {
                return ShotEnd::ConnectionLost;
            };
            reception = incoming.resume(permit);
        }
        match reception {
            Ok(Reception::Complete) => return end_of_response(incoming),
            Ok(_) => {}
            Err(_) => return ShotEnd::InvalidResponse,
        }
    }
}

/// Reserves the memory for the body of a response; `None` if the gateway has ended.
async fn wait_for_memory(instance: &WeakInstance, shot: &Shot, bytes: usize) -> Option<MemoryPermit> {
    let (account, began) = {
        let this = instance.upgrade()?;
        let this = this.borrow();
        (this.memory.clone(), this.clock_now())
    };
    let permit = account.hold_response(bytes).await;
    shot.memory_wait.set(instance.upgrade()?.borrow().clock_now() - began);
    Some(permit)
}

fn end_of_response(incoming: &IncomingResponse) -> ShotEnd {
    let Some(head) = &incoming.head else { return ShotEnd::InvalidResponse };
    ShotEnd::Answered(head.status, head.headers.single("x-not-processed") == Some("1"))
}

/// Reads what had arrived before the timeout of the shot and was not read yet, so that a stall of this process is not
/// attributed to the node. What arrives from then on is late, and a node that sends without end must not occupy the event
/// loop, so this reads only the number of bytes that the kernel held at that moment. The socket's buffer bounds that number,
/// and other tasks run between the reads.
async fn read_arrived(
    account: &MemoryAccount, upstream: &UpstreamConnection, incoming: &mut IncomingResponse,
) -> Option<ShotEnd> {
    let mut remaining = unread_bytes(upstream.stream.get_ref()).ok()?;
    while remaining > 0 {
        let receive = |bytes: &[u8]| (bytes.len(), incoming.receive(bytes));
        let received = read_some(&upstream.stream, MAX_READ_BYTES.min(remaining), receive).await.ok()?;
        let Received::Bytes((count, mut reception)) = received else { return None };
        if let Ok(Reception::NeedsMemory(bytes)) = reception {
            reception = incoming.resume(account.try_hold(MemoryKind::ResponseBody, bytes)?);
        }
        match reception.ok()? {
            Reception::Complete => return Some(end_of_response(incoming)),
            _ => remaining -= count,
        }
    }
    let closed = matches!(upstream.stream.get_ref().peek(&mut [0]), Ok(0));
    (closed && incoming.finish()).then(|| end_of_response(incoming))
}

/// Reads what had arrived, for as long as that may delay the final answer.
async fn read_arrived_in_time(
    account: &MemoryAccount, upstream: Option<&UpstreamConnection>, incoming: &mut IncomingResponse,
) -> Option<ShotEnd> {
    let upstream = upstream?;
    let reading = async { Ok(read_arrived(account, upstream, incoming).await) };
    with_timeout(LAST_READ_TIMEOUT, reading).await.ok().flatten()
}

/// The task of one shot: sends it, receives the response and reports the outcome to the instance.
pub async fn run_shot(instance: WeakInstance, shot: Rc<Shot>, request: Rc<ForwardedRequest>) {
    let Some(account) = instance.upgrade().map(|this| this.borrow().memory.clone()) else { return };
    let mut incoming = IncomingResponse::new(&account);
    let mut used = None;
    // An end from this side is checked first, so that nothing is sent for a client that has disconnected.
    let mut end =
        shot.ended().or(send_and_receive(&instance, &shot, request, &mut used, &mut incoming)).await;
    if end == ShotEnd::TimedOut && shot.progress() == Progress::Sent {
        end = read_arrived_in_time(&account, used.as_ref(), &mut incoming).await.unwrap_or(end);
    }
    let Some(this) = instance.upgrade() else { return };
    let idle_time = used.as_ref().and_then(|upstream| upstream.idle_time);
    let lost = end == ShotEnd::ConnectionLost && incoming.head.is_none();
    // The connection is closed, or returned to the pool, before the core may send again.
    let answered = matches!(end, ShotEnd::Answered(..)) && shot.progress() == Progress::Sent;
    if shot.progress() == Progress::PartlySent {
        // No node has begun it, and none is to go on reading it.
        used.iter().for_each(UpstreamConnection::reset_on_close);
    }
    let upstream = used.take().filter(|_| answered && incoming.is_reusable());
    let (report, answer) = match incoming.head.take().filter(|_| incoming.complete) {
        Some(head) => {
            let report =
                headers::decode_node_report(&head.headers, &this.borrow().config.transport.load_fields);
            let content_type = head.headers.single("content-type").map(String::from);
            (
                report,
                Some(FinalAnswer::Settled(
                    content_type,
                    std::mem::take(&mut incoming.body),
                    incoming.body_memory,
                )),
            )
        }
        None => (NodeReport::default(), None),
    };
    run_turn(&this, |this| {
        let now = this.now;
        idle_time.into_iter().for_each(|idle_time| this.idle_reuse.record(now, idle_time, lost));
        let closed = this.is_closed(&shot.node);
        // The connection is not pooled if the node moved, restarted or drains.
        let node = this.nodes.get_mut(&shot.node).filter(|node| !closed && !node.is_draining());
        let poolable =
            node.zip(upstream).filter(|(node, upstream)| upstream.incarnation == node.incarnation());
        if let Some((node, upstream)) = poolable {
            node.pool.put(now, upstream);
        }
        this.shot_completed(&shot, end, report, answer);
    });
}
