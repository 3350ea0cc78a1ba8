//! The tasks that perform the socket I/O of one instance: accept, read, connect, and wait until a connection is
//! writable. [`Instance`] handles what they receive.

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

/// Accepts client connections and starts a reading task for each, until the instance is dropped.
pub async fn accept(
    instance: Weak<RefCell<Instance>>, executor: Weak<LocalExecutor<'static>>, listener: Async<TcpListener>,
) {
    loop {
        let (stream, peer) = accept_next(&listener).await;
        let (Some(instance), Some(executor)) = (instance.upgrade(), executor.upgrade()) else { return };
        let opened = run_turn(&instance, |this| this.client_connected(stream.clone()));
        let Some(connection) = opened else {
            debug!(%peer, "closed the new client connection: the limit of client connections is reached");
            continue;
        };
        let reading = read_client(Rc::downgrade(&instance), connection, stream);
        spawn(&executor, TaskKind::Client, Peer::Address(peer), reading);
    }
}

/// Reads from a connection until it ends or `take` returns false, then calls `close`.
async fn read_until_closed(
    instance: Weak<RefCell<Instance>>, stream: Rc<Async<TcpStream>>,
    take: impl Fn(&mut Instance, &[u8]) -> bool, close: impl Fn(&mut Instance),
) {
    loop {
        // A peer that sends without pause must not block the other peers and the timers.
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
                debug!(%error, "read failed; closing the connection");
                false
            }
        };
        if !more {
            return run_turn(&this, close);
        }
        drop(this);
    }
}

async fn read_client(instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>) {
    let take = |this: &mut Instance, bytes: &[u8]| this.client_read(connection, bytes);
    read_until_closed(instance, stream, take, |this| this.close_client(connection)).await;
}

async fn read_node(instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>) {
    let take = |this: &mut Instance, bytes: &[u8]| this.node_read(connection, bytes);
    read_until_closed(instance, stream, take, |this| this.close_node_connection(connection)).await;
}

/// Waits until a connection is writable, and then resumes its output.
pub async fn resume_when_writable(
    instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>,
) {
    let _ = stream.writable().await;
    if let Some(instance) = instance.upgrade() {
        run_turn(&instance, |this| this.writable(connection));
    }
}

/// Opens an association with a node within the connect timeout: connects the admin queue, enables the controller, then
/// connects the I/O queues.
pub async fn open_association(instance: Weak<RefCell<Instance>>, node: NodeId) {
    let Some(this) = instance.upgrade() else { return };
    let (host, settings) = {
        let this = this.borrow();
        (this.name.clone(), this.deployment.connections.clone())
    };
    drop(this);
    let opening = async {
        let address: SocketAddr =
            node.0.parse().map_err(|_| io::Error::other("the node's name is not an address and port"))?;
        let subsystem = format!("nqn.2026-12.example.quaypath:node:{address}");
        let offer = offer(&settings);
        let (admin, enable) =
            open_admin_queue(address, &subsystem, &host, offer, settings.queues, false).await?;
        let mut queues = vec![admin];
        for number in 1..=enable.queues.clamp(1, settings.queues) {
            queues.push(open_io_queue(address, number, enable.controller, &subsystem, &host, offer).await?);
        }
        Ok(queues)
    };
    let opened: io::Result<Vec<Queue>> = with_timeout(settings.connect, opening).await;
    let Some(this) = instance.upgrade() else { return };
    match opened {
        Ok(queues) => {
            let streams: Vec<_> = queues.iter().map(|(_, stream)| stream.clone()).collect();
            let ids = run_turn(&this, |this| this.association_opened(&node, queues));
            let executor = this.borrow().executor();
            let weak = Rc::downgrade(&this);
            drop(this);
            if let Some(executor) = executor {
                for (id, stream) in ids.into_iter().zip(streams) {
                    let reading = read_node(weak.clone(), id, stream);
                    spawn(&executor, TaskKind::NodeConnection, Peer::Node(node.0.clone()), reading);
                }
            }
        }
        Err(error) => run_turn(&this, |this| this.association_failed(&node, &error.to_string())),
    }
}

/// The connection parameters that this gateway offers a node, from the settings.
fn offer(settings: &quaypath_settings::Connections) -> Offer {
    let bits = match settings.digests {
        Digests::None => 0,
        Digests::Header => 1,
        Digests::Data => 2,
        Digests::Both => 3,
    };
    let format = Format::of(bits, 0);
    // The operators configured the digests, so a node that does not accept them is not used.
    Offer { format, insist: true, keep_alive_ms: (settings.keep_alive * 1e3) as u32 }
}
