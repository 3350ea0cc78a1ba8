//! Parts that all stand-ins use: a thread with a task executor, output buffers, and accepting and reading connections.

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

/// Thread and executor of a running stand-in. Dropping it stops the thread and closes its sockets at once, as the
/// sockets of a killed process are.
pub struct Runtime {
    /// Dropping the sender stops the executor.
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Runtime {
    /// Starts a thread that runs the tasks that `spawn_tasks` puts on the executor, until this value is dropped.
    pub fn start(name: &str, spawn_tasks: impl FnOnce(&Rc<LocalExecutor<'static>>) + Send + 'static) -> Self {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let run = move || {
            let executor = Rc::new(LocalExecutor::new());
            spawn_tasks(&executor);
            let _ = async_io::block_on(executor.run(stopped.recv()));
        };
        let thread = std::thread::Builder::new().name(name.into()).spawn(run).expect("a thread");
        Runtime { stop: Some(stop), thread: Some(thread) }
    }

    /// Runs the tasks on the calling thread until `until` completes.
    pub fn run_here(spawn_tasks: impl FnOnce(&Rc<LocalExecutor<'static>>), until: impl Future<Output = ()>) {
        let executor = Rc::new(LocalExecutor::new());
        spawn_tasks(&executor);
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

/// Output of one connection that the kernel has not accepted yet. The caller bounds its size.
#[derive(Default)]
pub struct OutputBuffer {
    bytes: Vec<u8>,
    sent: usize,
}

impl OutputBuffer {
    /// Appends `bytes` and leaves them empty.
    pub fn append(&mut self, bytes: &mut Vec<u8>) {
        if self.sent == self.bytes.len() {
            self.bytes.clear();
            self.sent = 0;
        }
        self.bytes.append(bytes);
    }

    /// Number of bytes that are not written to the socket yet.
    pub fn unsent_bytes(&self) -> usize {
        self.bytes.len() - self.sent
    }

    /// Writes until the kernel accepts no more. Returns whether the buffer is empty.
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

/// A connection that several tasks of one executor read and write.
pub type Stream = Rc<Async<TcpStream>>;

/// Accepts connections and runs `serve` for each in a task of its own. A connection that gets no number from `opened`
/// is closed. The accepting task holds no strong reference to the executor and ends with it.
pub fn serve_connections<S: 'static, F: Future<Output = ()> + 'static>(
    executor: &Rc<LocalExecutor<'static>>, listener: Async<TcpListener>, state: Rc<RefCell<S>>,
    opened: fn(&Rc<RefCell<S>>, Stream) -> Option<u64>, serve: fn(Rc<RefCell<S>>, u64, Stream) -> F,
) {
    let weak = Rc::downgrade(executor);
    let accept_loop = async move {
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
    executor.spawn(accept_loop).detach();
}

/// Number of the gateway, from the end of its host NQN; 0 if the NQN does not end with a number.
pub fn gateway_of(host_nqn: &str) -> u32 {
    host_nqn.rsplit(':').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Reads until the peer closes the connection or `receive` returns false.
pub async fn read_until_closed(
    stream: &Async<TcpStream>, mut receive: impl FnMut(&[u8]) -> bool,
) -> io::Result<()> {
    let buffer = Rc::new(RefCell::new(vec![0; 64 << 10]));
    loop {
        let keep_reading = {
            let mut socket = stream.get_ref();
            let mut buffer = buffer.borrow_mut();
            match socket.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(count) => Some(receive(&buffer[..count])),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => Some(true),
                Err(error) => return Err(error),
            }
        };
        match keep_reading {
            Some(false) => return Ok(()),
            Some(true) => yield_now().await,
            None => stream.readable().await?,
        }
    }
}

/// State of a running stand-in that is also read or changed from outside its thread.
pub type SharedMutex<T> = Arc<std::sync::Mutex<T>>;
