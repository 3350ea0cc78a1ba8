//! The host side of a queue pair of an association that only one task uses: connect, enable, submit and wait.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use futures_lite::AsyncWriteExt;
use quaypath_nvme::command::{Cqe, Sqe, ANY_CONTROLLER};
use quaypath_nvme::enable::Enable;
use quaypath_nvme::host::{Event, Host, Offer};
use quaypath_nvme::QUEUE_SIZE;

/// Reads the available bytes, or waits until there are some. Returns 0 when the peer has closed the connection.
async fn read(stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    let mut direct = stream.get_ref();
    loop {
        match direct.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.readable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            read_result => return read_result,
        }
    }
}

/// The host state machine of one queue and its socket.
pub type Queue = (Host, Rc<Async<TcpStream>>);

/// Feeds the state machine of a queue from its socket until `take` returns a result.
async fn run_until<R>(
    machine: &mut Host, stream: &Async<TcpStream>,
    mut take: impl FnMut(&mut Host, Event) -> io::Result<Option<R>>,
) -> io::Result<R> {
    let mut buffer = vec![0; 16 << 10];
    let mut writer = stream;
    loop {
        let output = std::mem::take(&mut machine.out);
        writer.write_all(&output).await?;
        let count = read(stream, &mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut events = Vec::new();
        machine.feed(&buffer[..count], &mut events).map_err(io::Error::other)?;
        // All received events are handled, because another event may directly follow the answer.
        let mut result = None;
        for event in events {
            if let Some(value) = take(machine, event)? {
                result.get_or_insert(value);
            }
        }
        if let Some(value) = result {
            let output = std::mem::take(&mut machine.out);
            writer.write_all(&output).await?;
            return Ok(value);
        }
    }
}

/// Connects and enables an admin queue. Requests `queues` I/O queues, and asynchronous events if `events` is set.
pub async fn open_admin_queue(
    address: SocketAddr, subsystem: &str, host: &str, offer: Offer, queues: u16, events: bool,
) -> io::Result<(Queue, Enable)> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let mut machine = Host::start_with(0, QUEUE_SIZE, ANY_CONTROLLER, subsystem, host, offer);
    let mut enable = Enable::new(queues, events);
    run_until(&mut machine, &stream, |machine, event| {
        let enabled = enable.take(machine, event).map_err(io::Error::other)?;
        Ok(enabled.then_some(()))
    })
    .await?;
    Ok(((machine, Rc::new(stream)), enable))
}

/// Connects I/O queue `number` of an association.
pub async fn open_io_queue(
    address: SocketAddr, number: u16, controller: u16, subsystem: &str, host: &str, offer: Offer,
) -> io::Result<Queue> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let mut machine = Host::start_with(number, QUEUE_SIZE, controller, subsystem, host, offer);
    run_until(&mut machine, &stream, |_, event| match event {
        Event::Ready { .. } => Ok(Some(())),
        event => Err(io::Error::other(format!("{event:?}"))),
    })
    .await?;
    Ok((machine, Rc::new(stream)))
}

/// Submits one command on a queue with no other user and waits for its completion. `expected` is the
/// size of the data that the command returns, bytes. Completions of asynchronous event requests that arrive meanwhile are appended to `events`.
pub async fn submit_and_wait(
    queue: &mut Queue, sqe: Sqe, data: Vec<u8>, expected: usize, events: &mut Vec<Cqe>,
) -> io::Result<(Cqe, Vec<u8>)> {
    let (machine, stream) = queue;
    let submitted = machine.submit(sqe, data, expected);
    let (submitted_cid, bytes) = submitted.ok_or_else(|| io::Error::other("the queue is full"))?;
    machine.out.extend(bytes);
    run_until(machine, stream, |_, event| match event {
        Event::Done { cid, cqe, data } if cid == submitted_cid => Ok(Some((cqe, data))),
        Event::Done { cqe, .. } => {
            events.push(cqe);
            Ok(None)
        }
        Event::Terminated { status, .. } => {
            Err(io::Error::other(format!("the controller ended the connection with fatal error {status}")))
        }
        _ => Ok(None),
    })
    .await
}

/// Waits for the completion of an asynchronous event request.
pub async fn wait_for_event(queue: &mut Queue) -> io::Result<Cqe> {
    let (machine, stream) = queue;
    run_until(machine, stream, |_, event| match event {
        Event::Done { cqe, .. } => Ok(Some(cqe)),
        Event::Terminated { status, .. } => {
            Err(io::Error::other(format!("the controller ended the connection with fatal error {status}")))
        }
        _ => Ok(None),
    })
    .await
}
