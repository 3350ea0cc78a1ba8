//! What the stand-ins share: a thread with an executor of its own that ends when told, and small tools of it.

use std::cell::RefCell;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;

/// A running stand-in. Dropping it ends it: its sockets are closed at once, as a killed process's are.
pub struct Runtime {
    /// Dropped to end it.
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Runtime {
    /// Starts a thread that runs what `make` spawns on its executor until it is told to end.
    pub fn start(name: &str, make: impl FnOnce(&Rc<LocalExecutor<'static>>) + Send + 'static) -> Self {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let run = move || {
            let executor = Rc::new(LocalExecutor::new());
            make(&executor);
            let _ = async_io::block_on(executor.run(stopped.recv()));
        };
        let thread = std::thread::Builder::new().name(name.into()).spawn(run).expect("a thread");
        Runtime { stop: Some(stop), thread: Some(thread) }
    }

    /// Runs on this thread until `until` is done.
    pub fn run_here(make: impl FnOnce(&Rc<LocalExecutor<'static>>), until: impl Future<Output = ()>) {
        let executor = Rc::new(LocalExecutor::new());
        make(&executor);
        async_io::block_on(executor.run(until));
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Output of one connection: bytes pile up to a bound and leave as the kernel takes them.
#[derive(Default)]
pub struct OutputBuffer {
    bytes: Vec<u8>,
    sent: usize,
}

impl OutputBuffer {
    pub fn append(&mut self, bytes: &mut Vec<u8>) {
        if self.sent == self.bytes.len() {
            self.bytes.clear();
            self.sent = 0;
        }
        self.bytes.append(bytes);
    }

    pub fn unsent_bytes(&self) -> usize {
        self.bytes.len() - self.sent
    }

    /// True when all is out.
    pub fn flush(&mut self, mut stream: &TcpStream) -> io::Result<bool> {
        while self.sent < self.bytes.len() {
            match stream.write(&self.bytes[self.sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}

/// A connection, read and written by tasks of one executor.
pub type Stream = Rc<Async<TcpStream>>;

/// Serves every connection that comes, each in a task of its own; what `opened` gives no number is closed. Ends with
/// the executor, which it does not keep alive.
pub fn serve_connections<S: 'static, F: Future<Output = ()> + 'static>(
    executor: &Rc<LocalExecutor<'static>>, listener: Async<TcpListener>, state: Rc<RefCell<S>>,
    opened: fn(&Rc<RefCell<S>>, Stream) -> Option<u64>, serve: fn(Rc<RefCell<S>>, u64, Stream) -> F,
) {
    let weak = Rc::downgrade(executor);
    let all = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            let stream = Rc::new(stream);
            if let (Some(executor), Some(number)) = (weak.upgrade(), opened(&state, stream.clone())) {
                executor.spawn(serve(state.clone(), number, stream)).detach();
            }
        }
    };
    executor.spawn(all).detach();
}

/// Number of the gateway in a host name that ends with it; 0 for a host of another kind.
pub fn gateway_of(host: &str) -> u32 {
    host.rsplit(':').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Reads until the peer closes or `take` says that it is enough.
pub async fn read_until_closed(
    stream: &Async<TcpStream>, mut take: impl FnMut(&[u8]) -> bool,
) -> io::Result<()> {
    let buffer = Rc::new(RefCell::new(vec![0; 64 << 10]));
    loop {
        let read = {
            let mut direct = stream.get_ref();
            let mut buffer = buffer.borrow_mut();
            match direct.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(count) => Some(take(&buffer[..count])),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => Some(true),
                Err(error) => return Err(error),
            }
        };
        match read {
            Some(false) => return Ok(()),
            Some(true) => yield_now().await,
            None => stream.readable().await?,
        }
    }
}

/// Shared with a running stand-in and changed from outside, by scripts.
pub type SharedMutex<T> = Arc<std::sync::Mutex<T>>;
