//! The tasks that move the bytes of one instance's connections: accept, read, connect, drain. What happens is
//! [`Instance`]'s.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};

use async_executor::LocalExecutor;
use async_io::Async;
use quaypath::types::NodeId;
use quaypath_nvme::host::Offer;
use quaypath_nvme::pdu::Format;
use quaypath_settings::Digests;
use tracing::debug;

use crate::event_loop::{accept_next, run_turn, try_read, with_timeout, Received, MAX_READ_BYTES};
use crate::instance::Instance;
use crate::polls::{spawn, yield_if_spent, Peer, TaskKind};
use crate::queue::{open_admin_queue, open_io_queue, Queue};

pub async fn accept(
    instance: Weak<RefCell<Instance>>, executor: Weak<LocalExecutor<'static>>, listener: Async<TcpListener>,
) {
    loop {
        let (stream, peer) = accept_next(&listener).await;
        let (Some(instance), Some(executor)) = (instance.upgrade(), executor.upgrade()) else { return };
        let opened = run_turn(&instance, |this| this.front_opened(stream.clone()));
        let Some(connection) = opened else {
            debug!(%peer, "closed: as many client connections as allowed");
            continue;
        };
        let reading = read_front(Rc::downgrade(&instance), connection, stream);
        spawn(&executor, TaskKind::Client, Peer::Address(peer), reading);
    }
}

async fn serve(
    instance: Weak<RefCell<Instance>>, stream: Rc<Async<TcpStream>>,
    take: impl Fn(&mut Instance, &[u8]) -> bool, close: impl Fn(&mut Instance),
) {
    loop {
        // One peer that never stops must not keep the others and the timers from their turns.
        yield_if_spent().await;
        let Some(this) = instance.upgrade() else { return };
        this.borrow_mut().counts.reads += 1;
        let read =
            try_read(stream.get_ref(), MAX_READ_BYTES, |bytes| run_turn(&this, |this| take(this, bytes)));
        let more = match read {
            Ok(Some(Received::Bytes(more))) => more,
            Ok(Some(Received::End)) => false,
            Ok(None) => {
                drop(this);
                if stream.readable().await.is_err() {
                    return;
                }
                continue;
            }
            Err(error) => {
                debug!(%error, "read");
                false
            }
        };
        if !more {
            return run_turn(&this, close);
        }
        drop(this);
    }
}

async fn read_front(instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>) {
    let take = |this: &mut Instance, bytes: &[u8]| this.front_read(connection, bytes);
    serve(instance, stream, take, |this| this.front_closed(connection)).await;
}

async fn read_back(instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>) {
    let take = |this: &mut Instance, bytes: &[u8]| this.back_read(connection, bytes);
    serve(instance, stream, take, |this| this.back_closed(connection)).await;
}

/// Waits until a connection takes bytes again, once.
pub async fn drain(instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>) {
    let _ = stream.writable().await;
    if let Some(instance) = instance.upgrade() {
        run_turn(&instance, |this| this.unblocked(connection));
    }
}

/// Opens an association at a node: admin queue, enable, then the I/O queues, all within the connect time-out.
pub async fn open_link(instance: Weak<RefCell<Instance>>, node: NodeId) {
    let Some(this) = instance.upgrade() else { return };
    let (host, waits) = {
        let this = this.borrow();
        (this.name.clone(), this.deployment.connections.clone())
    };
    drop(this);
    let opening = async {
        let address: SocketAddr = node.0.parse().map_err(|_| io::Error::other("not an address"))?;
        let subsystem = format!("nqn.2026-12.example.quaypath:node:{address}");
        let offer = offer(&waits);
        let (admin, enable) =
            open_admin_queue(address, &subsystem, &host, offer, waits.queues, false).await?;
        let mut queues = vec![admin];
        for number in 1..=enable.queues.clamp(1, waits.queues) {
            queues.push(open_io_queue(address, number, enable.controller, &subsystem, &host, offer).await?);
        }
        Ok(queues)
    };
    let opened: io::Result<Vec<Queue>> = with_timeout(waits.connect, opening).await;
    let Some(this) = instance.upgrade() else { return };
    match opened {
        Ok(queues) => {
            let streams: Vec<_> = queues.iter().map(|(_, stream)| stream.clone()).collect();
            let ids = run_turn(&this, |this| this.link_opened(&node, queues));
            let executor = this.borrow().executor();
            let weak = Rc::downgrade(&this);
            drop(this);
            if let Some(executor) = executor {
                for (id, stream) in ids.into_iter().zip(streams) {
                    let reading = read_back(weak.clone(), id, stream);
                    spawn(&executor, TaskKind::NodeConnection, Peer::Node(node.0.clone()), reading);
                }
            }
        }
        Err(error) => run_turn(&this, |this| this.link_failed(&node, &error.to_string())),
    }
}

/// What this end offers a node, by the settings.
fn offer(waits: &quaypath_settings::Connections) -> Offer {
    let bits = match waits.digests {
        Digests::None => 0,
        Digests::Header => 1,
        Digests::Data => 2,
        Digests::Both => 3,
    };
    let format = Format::of(bits, 0);
    // Asked for by the operators, so a node that does not take them is not used.
    Offer { format, insist: true, keep_alive_ms: (waits.keep_alive * 1e3) as u32 }
}
