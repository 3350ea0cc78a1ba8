//! A queue pair of an association from the host's side, used by one task alone: connected, enabled, asked.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use futures_lite::AsyncWriteExt;
use quaypath_nvme::command::{Cqe, Sqe, ANY_CONTROLLER};
use quaypath_nvme::enable::Enable;
use quaypath_nvme::host::{Event, Host, Offer};
use quaypath_nvme::QUEUE_SIZE;

/// Reads what is there without waiting, or waits for more. 0: the peer closed.
async fn read(stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    let mut direct = stream.get_ref();
    loop {
        match direct.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.readable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// One queue and its socket.
pub type Queue = (Host, Rc<Async<TcpStream>>);

/// Feeds a queue's machine from its socket until `take` has what it wants.
async fn converse<R>(
    machine: &mut Host, stream: &Async<TcpStream>,
    mut take: impl FnMut(&mut Host, Event) -> io::Result<Option<R>>,
) -> io::Result<R> {
    let mut buffer = vec![0; 16 << 10];
    let mut writer = stream;
    loop {
        let out = std::mem::take(&mut machine.out);
        writer.write_all(&out).await?;
        let count = read(stream, &mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut events = Vec::new();
        machine.feed(&buffer[..count], &mut events).map_err(io::Error::other)?;
        // All that came is looked at: an event may stand right behind the answer.
        let mut result = None;
        for event in events {
            if let Some(done) = take(machine, event)? {
                result.get_or_insert(done);
            }
        }
        if let Some(done) = result {
            let out = std::mem::take(&mut machine.out);
            writer.write_all(&out).await?;
            return Ok(done);
        }
    }
}

/// Connects and enables an admin queue; wants this many I/O queues, and events or not.
pub async fn open_admin_queue(
    address: SocketAddr, subsystem: &str, host: &str, offer: Offer, queues: u16, events: bool,
) -> io::Result<(Queue, Enable)> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let mut machine = Host::start_with(0, QUEUE_SIZE, ANY_CONTROLLER, subsystem, host, offer);
    let mut enable = Enable::new(queues, events);
    converse(&mut machine, &stream, |machine, event| {
        let done = enable.take(machine, event).map_err(io::Error::other)?;
        Ok(done.then_some(()))
    })
    .await?;
    Ok(((machine, Rc::new(stream)), enable))
}

/// Connects an I/O queue of an association.
pub async fn open_io_queue(
    address: SocketAddr, number: u16, controller: u16, subsystem: &str, host: &str, offer: Offer,
) -> io::Result<Queue> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let mut machine = Host::start_with(number, QUEUE_SIZE, controller, subsystem, host, offer);
    converse(&mut machine, &stream, |_, event| match event {
        Event::Ready { .. } => Ok(Some(())),
        event => Err(io::Error::other(format!("{event:?}"))),
    })
    .await?;
    Ok((machine, Rc::new(stream)))
}

/// One command and its answer, on a queue that nothing else uses. Completions of event requests that come meanwhile
/// go into `events`.
pub async fn submit_and_wait(
    queue: &mut Queue, sqe: Sqe, data: Vec<u8>, expected: usize, events: &mut Vec<Cqe>,
) -> io::Result<(Cqe, Vec<u8>)> {
    let (machine, stream) = queue;
    let asked = machine.submit(sqe, data, expected);
    let (asked, bytes) = asked.ok_or_else(|| io::Error::other("the queue is full"))?;
    machine.out.extend(bytes);
    converse(machine, stream, |_, event| match event {
        Event::Done { cid, cqe, data } if cid == asked => Ok(Some((cqe, data))),
        Event::Done { cqe, .. } => {
            events.push(cqe);
            Ok(None)
        }
        Event::Terminated { status, .. } => Err(io::Error::other(format!("ended with fatal error {status}"))),
        _ => Ok(None),
    })
    .await
}

/// Waits for the completion of an event request.
pub async fn wait_for_event(queue: &mut Queue) -> io::Result<Cqe> {
    let (machine, stream) = queue;
    converse(machine, stream, |_, event| match event {
        Event::Done { cqe, .. } => Ok(Some(cqe)),
        Event::Terminated { status, .. } => Err(io::Error::other(format!("ended with fatal error {status}"))),
        _ => Ok(None),
    })
    .await
}
