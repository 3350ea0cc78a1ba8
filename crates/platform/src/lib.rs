//! The gateway on the platform: clients and nodes over HTTP/1.1, discovery, and the configuration.
//!
//! [`run`] runs one gateway on one thread. Events on the sockets become calls of the core in `instance`, and the actions that
//! the core requests are executed there too; [`outcome`] maps how a shot ended to the core's outcome. This crate takes no
//! scheduling decisions.

pub mod allocator;
pub mod client_table;
pub mod config;
mod config_file;
mod discovery;
mod front;
pub mod headers;
pub mod idle_reuse;
mod incoming;
mod instance;
pub mod json_stream;
pub mod memory;
mod node_table;
pub mod outcome;
pub mod replay_window;
mod upstream;
mod vectored;

use std::io;
use std::net::TcpListener;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::future::yield_now;
use futures_lite::{FutureExt, StreamExt};
use quaypath_http::RequestDecoder;
use quaypath_initiator::event_loop::{accept_next, run_timers, run_turn, Notify};
use quaypath_initiator::polls::{self, spawn, Peer, TaskKind};
use socket2::{Domain, Protocol, Socket, Type};
use tracing::{info, warn};

pub use config::Config;
pub use instance::Counts;

use client_table::Admission;
use instance::{Instance, SharedInstance, ShutdownStage, WeakInstance};

/// Largest number of bytes that one read returns. All of them are decoded in one poll, however small the messages in them
/// are, and bytes that a client sends ahead are buffered only to this extent.
const MAX_READ_BYTES: usize = 16 << 10;
/// Number of connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// The platform kills the process at the earliest this long after SIGTERM: the longest deadline of all bands, but at most
/// `MAX_COUNTED_DEADLINE`, plus `KILL_DELAY` (the platform specification). Seconds.
const MAX_COUNTED_DEADLINE: f64 = 3.0;
const KILL_DELAY: f64 = 0.7;
/// The time before the kill from which on connections are closed after the answer that they are used for, seconds. Such a
/// close cannot cross the client's next request on the connection, as the close of an idle connection can. Until this time the
/// connections stay open, because on the connections that they have clients reach no other gateway.
const DRAIN_LEAD: f64 = 1.2;
/// The time before the kill from which on connections that are still idle are closed, seconds.
const CLOSE_IDLE_LEAD: f64 = 0.6;
/// The time before the kill at which everything that is still open is answered, seconds.
const TERMINATE_LEAD: f64 = 0.12;
/// The process does not end sooner than this after SIGTERM, seconds: new connections arrive for up to 0.4 s after it.
const MIN_SHUTDOWN_TIME: f64 = 0.5;
/// Time for writing the last answers, seconds.
const LAST_WRITES_TIME: f64 = 0.05;
/// Number of times that the accept loop yields to the other tasks before it accepts the next client while the client limit
/// is exceeded.
const ACCEPT_YIELDS: usize = 4;
/// Time after which a connection that waits for a place is decided on again.
const ADMISSION_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of the counts in the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

type WeakExecutor = Weak<LocalExecutor<'static>>;

fn listen(config: &Config) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(config.listen), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process listens on the same address while connections of the previous one are still closing.
    socket.set_reuse_address(true)?;
    socket.bind(&config.listen.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Runs one gateway until SIGTERM and returns its counts.
pub fn run(config: Config) -> io::Result<Counts> {
    let signals = Signals::new([Signal::Term, Signal::Hup])?;
    let listener = listen(&config)?;
    let executor = Rc::new(LocalExecutor::new());
    let discovery = config.discovery;
    let instance = Instance::start(config, &executor);
    let weak = Rc::downgrade(&instance);
    info!(address = %listener.get_ref().local_addr()?, %discovery, "listening");
    spawn(&executor, TaskKind::Timers, Peer::None, run_timers(weak.clone()));
    let watch = discovery::watch_loop(&instance, discovery);
    spawn(&executor, TaskKind::Discovery, Peer::Address(discovery), watch);
    spawn(&executor, TaskKind::Report, Peer::None, report_counts(weak.clone()));
    let accept = accept_clients(weak.clone(), Rc::downgrade(&executor), listener);
    spawn(&executor, TaskKind::Accept, Peer::None, accept);
    let terminate = Rc::<Notify>::default();
    let signals = handle_signals(weak, signals, Rc::downgrade(&executor), terminate.clone());
    spawn(&executor, TaskKind::Signals, Peer::None, signals);
    let done = async {
        terminate.wait().await;
        shut_down(&instance).await;
    };
    async_io::block_on(polls::run(&executor, done));
    let counts = instance.borrow_mut().take_counts();
    Ok(counts)
}

/// Accepts client connections as far as there is room for them.
async fn accept_clients(instance: WeakInstance, executor: WeakExecutor, listener: Async<TcpListener>) {
    loop {
        let Some(this) = instance.upgrade() else { return };
        if !this.borrow().clients.has_place() {
            // No connection is evicted before another one waits for its place.
            drop(this);
            let _ = listener.readable().await;
        }
        let Some(this) = instance.upgrade() else { return };
        let admission = run_turn(&this, Instance::admit_client);
        drop(this);
        if matches!(admission, Admission::Wait) {
            Timer::after(ADMISSION_RETRY_INTERVAL).await;
            continue;
        }
        let (stream, peer) = accept_next(&listener).await;
        let peer = Peer::Address(peer);
        let (Some(this), Some(executor)) = (instance.upgrade(), executor.upgrade()) else { return };
        if let Admission::Lobby(permit) = admission {
            spawn(&executor, TaskKind::Lobby, peer, front::serve_in_lobby(instance.clone(), stream, permit));
        } else {
            let client = run_turn(&this, Instance::client_connected);
            let serve = front::serve(instance.clone(), client, stream, RequestDecoder::default());
            spawn(&executor, TaskKind::Client, peer, serve);
        }
        // Other tasks run between two accepts, however many clients wait in the backlog. While the client limit is exceeded,
        // the evicted connections close first, so that the backlog is not accepted all at once.
        for _ in 0..ACCEPT_YIELDS {
            yield_now().await;
            if !this.borrow().clients.is_over_limit() {
                break;
            }
        }
    }
}

/// Logs the counts at intervals.
async fn report_counts(instance: WeakInstance) {
    loop {
        Timer::after(REPORT_INTERVAL).await;
        let Some(this) = instance.upgrade() else { return };
        log_counts(&this);
    }
}

fn log_counts(instance: &SharedInstance) {
    let counts = serde_json::to_string(&instance.borrow_mut().take_counts()).unwrap_or_default();
    let this = instance.borrow();
    let nodes: Vec<String> = this
        .nodes
        .iter()
        .map(|(name, node)| (name, this.shots_in_flight(name), node.pool.len()))
        .filter(|(_, in_flight, idle)| in_flight + idle > 0)
        .map(|(name, in_flight, idle)| format!("{}={in_flight}+{idle}", name.0))
        .collect();
    info!(counts, nodes = nodes.join(" "), "counts");
}

/// Handles signals for as long as the process runs: SIGTERM is passed on to `terminate`, SIGHUP reloads the configuration. A
/// configuration that is reloaded after SIGTERM takes effect too: drains that only its discovery address reports are
/// observed to the end.
async fn handle_signals(
    instance: WeakInstance, mut signals: Signals, executor: WeakExecutor, terminate: Rc<Notify>,
) {
    while let Some(signal) = signals.next().await {
        let (Some(this), Some(executor)) = (instance.upgrade(), executor.upgrade()) else { return };
        match signal {
            Ok(Signal::Hup) => {
                let reloaded = this.borrow().reload_config();
                match reloaded {
                    Ok(address) => {
                        info!(discovery = %address, "configuration reloaded");
                        let watch = discovery::watch_loop(&this, address);
                        spawn(&executor, TaskKind::Discovery, Peer::Address(address), watch);
                    }
                    Err(error) => warn!(%error, "the configuration cannot be read; keeping the previous one"),
                }
            }
            Ok(Signal::Term) => terminate.notify(),
            Ok(_) => {}
            Err(error) => warn!(%error, "cannot receive a signal; waiting for the next one"),
        }
    }
}

/// Shuts down in stages before the kill: serves as before, then closes connections after their answers, then closes idle
/// connections, and answers the remaining transactions. It accepts connections to the end, because a connection that the
/// kernel has accepted counts as accepted by the gateway.
async fn shut_down(instance: &SharedInstance) {
    let notice = instance.borrow().config.transport.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    info!(notice, "stopping");
    let started = Instant::now();
    // With short deadlines some stages begin at once.
    let before_kill = |lead: f64| Timer::at(started + Duration::from_secs_f64((notice - lead).max(0.0)));
    before_kill(DRAIN_LEAD).await;
    run_turn(instance, |this| this.advance_shutdown(ShutdownStage::Draining));
    before_kill(CLOSE_IDLE_LEAD).await;
    let quiescent = async {
        loop {
            run_turn(instance, |this| this.advance_shutdown(ShutdownStage::ClosingIdle));
            Timer::after(Duration::from_millis(5)).await;
            // Other tasks that are ready run first, such as the accept of a connection in the backlog.
            yield_now().await;
            yield_now().await;
            if started.elapsed().as_secs_f64() >= MIN_SHUTDOWN_TIME && instance.borrow().is_quiescent() {
                break;
            }
        }
    };
    let terminated = async {
        before_kill(TERMINATE_LEAD).await;
        run_turn(instance, |this| this.advance_shutdown(ShutdownStage::Terminating));
        Timer::after(Duration::from_secs_f64(LAST_WRITES_TIME)).await;
    };
    quiescent.or(terminated).await;
    log_counts(instance);
}
