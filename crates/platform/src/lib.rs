//! The platform's way in and out: clients and nodes over HTTP/1.1, discovery, the configuration.
//!
//! [`run`] is one initiator on one thread. What happens on the sockets becomes a call of the core in `instance`,
//! through the one table of [`outcome`]; what the core asks for is carried out there too. Nothing is decided here.

pub mod config;
pub mod decode;
mod discovery;
mod front;
pub mod idle_reuse;
pub mod ids;
mod instance;
pub mod objects;
pub mod outcome;
mod upstream;

use std::io;
use std::net::TcpListener;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::future::yield_now;
use futures_lite::{FutureExt, StreamExt};
use quaypath_initiator::event_loop::{accept_next, run_timers, run_turn, Notify};
use quaypath_initiator::polls::{self, spawn, Peer, TaskKind};
use socket2::{Domain, Protocol, Socket, Type};
use tracing::{info, warn};

pub use config::Config;
pub use instance::Counts;

use instance::{Instance, Shared, ShutdownStage, Weakly};

/// Most that is read at once, bytes: what one read brings is worked through in one poll, however small its pieces are, and
/// what a client sends is held only as far as it is looked at.
const READ: usize = 16 << 10;
/// Connections that the kernel holds for us until they are accepted.
const BACKLOG: i32 = 1024;
/// The kill comes no sooner after SIGTERM than the longest deadline, counted as this where it is longer, and a bit,
/// seconds (the platform's page).
const LONGEST_COUNTED: f64 = 3.0;
const NOTICE: f64 = 0.7;
/// So long before the kill answers end their connections, which cannot cross the client's next request as a close can;
/// so long before it connections are closed that are idle yet; and so long before it all that is still open is answered,
/// seconds. Until then clients find nobody else on the connections that they have.
const LEAVING: f64 = 1.2;
const CLOSING: f64 = 0.6;
const END: f64 = 0.12;
/// New connections keep coming for up to 0.4 s after SIGTERM: nobody ends before that, seconds.
const COMING: f64 = 0.5;
/// What the last answers have for being written, seconds.
const LAST_WRITES: f64 = 0.05;
/// Driver that others have before the next client is let in where there are too many.
const YIELDS: usize = 4;
const REPORT: Duration = Duration::from_secs(5);

type Executor = Weak<LocalExecutor<'static>>;

fn listen(config: &Config) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(config.listen), Type::STREAM, Some(Protocol::TCP))?;
    // A restart comes back under the same address, with connections of before still closing.
    socket.set_reuse_address(true)?;
    socket.bind(&config.listen.into())?;
    socket.listen(BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Runs one initiator until SIGTERM, and gives its counts.
pub fn run(config: Config) -> io::Result<Counts> {
    let signals = Signals::new([Signal::Term, Signal::Hup])?;
    let listener = listen(&config)?;
    let executor = Rc::new(LocalExecutor::new());
    let discovery = config.discovery;
    let instance = Instance::start(config, &executor);
    let weak = Rc::downgrade(&instance);
    info!(address = %listener.get_ref().local_addr()?, %discovery, "listening");
    spawn(&executor, TaskKind::Timers, Peer::None, run_timers(weak.clone()));
    let watch = discovery::watch_loop(weak.clone(), discovery, 0);
    spawn(&executor, TaskKind::Discovery, Peer::Address(discovery), watch);
    spawn(&executor, TaskKind::Report, Peer::None, report(weak.clone()));
    let accept = accept(weak.clone(), Rc::downgrade(&executor), listener);
    spawn(&executor, TaskKind::Accept, Peer::None, accept);
    let term = Rc::<Notify>::default();
    let obey = obey(weak, signals, Rc::downgrade(&executor), term.clone());
    spawn(&executor, TaskKind::Signals, Peer::None, obey);
    let done = async {
        term.wait().await;
        shut_down(&instance).await;
    };
    async_io::block_on(polls::run(&executor, done));
    let counts = instance.borrow_mut().counted();
    Ok(counts)
}

async fn accept(instance: Weakly, executor: Executor, listener: Async<TcpListener>) {
    loop {
        let (stream, peer) = accept_next(&listener).await;
        let peer = Peer::Address(peer);
        let (Some(this), Some(executor)) = (instance.upgrade(), executor.upgrade()) else { return };
        if let Some((number, close_request)) = run_turn(&this, Instance::opened) {
            let serve = front::serve(instance.clone(), number, close_request, stream);
            spawn(&executor, TaskKind::Client, peer, serve);
        } else if let Some(refusal) = this.borrow_mut().refusal() {
            spawn(&executor, TaskKind::TurnAway, peer, front::turn_away(stream, refusal));
        }
        // The others have their run_turn, however many wait to be let in; and where there are too many those that make room
        // go first, so that a crowd in the backlog is not let in all at once.
        for _ in 0..YIELDS {
            yield_now().await;
            if !this.borrow().crowded() {
                break;
            }
        }
    }
}

async fn report(instance: Weakly) {
    loop {
        Timer::after(REPORT).await;
        let Some(this) = instance.upgrade() else { return };
        log(&this);
    }
}

fn log(instance: &Shared) {
    let counts = serde_json::to_string(&instance.borrow_mut().counted()).unwrap_or_default();
    let this = instance.borrow();
    let nodes: Vec<String> = this
        .nodes
        .iter()
        .map(|(name, node)| (name, this.out(name), node.pool.len()))
        .filter(|(_, out, idle)| out + idle > 0)
        .map(|(name, out, idle)| format!("{}={out}+{idle}", name.0))
        .collect();
    info!(counts, nodes = nodes.join(" "), "counts");
}

/// Obeys signals for as long as the process runs; tells of SIGTERM. A new configuration behind it counts as any other:
/// drains that only its discovery tells are kept to the end.
async fn obey(instance: Weakly, mut signals: Signals, executor: Executor, term: Rc<Notify>) {
    let mut source = 0;
    while let Some(signal) = signals.next().await {
        let (Some(this), Some(executor)) = (instance.upgrade(), executor.upgrade()) else { return };
        match signal {
            Ok(Signal::Hup) => {
                let path = this.borrow().config.path.clone();
                match Config::read(&path, |name| std::env::var(name).ok()) {
                    Ok(config) => {
                        source += 1;
                        this.borrow_mut().newest = source;
                        info!(discovery = %config.discovery, "configuration read anew");
                        // The address of before is heard until this one has told its whole list.
                        let watch = discovery::watch_loop(instance.clone(), config.discovery, source);
                        spawn(&executor, TaskKind::Discovery, Peer::Address(config.discovery), watch);
                    }
                    Err(error) => warn!(%error, "the configuration cannot be read; the one of before stays"),
                }
            }
            Ok(Signal::Term) => term.notify(),
            Ok(_) => {}
            Err(error) => warn!(%error, "a signal was lost"),
        }
    }
}

/// Serves on as before, then moves clients off by their answers, closes what is idle and answers what was taken, all
/// before the kill. It listens to the end: what the kernel has accepted counts as taken.
async fn shut_down(instance: &Shared) {
    let notice = instance.borrow().config.waits.longest().min(LONGEST_COUNTED) + NOTICE;
    info!(notice, "stopping");
    let began = Instant::now();
    // Deadlines may be so short that some of this is due at once.
    let before_kill = |left: f64| Timer::at(began + Duration::from_secs_f64((notice - left).max(0.0)));
    before_kill(LEAVING).await;
    run_turn(instance, |this| this.stop(ShutdownStage::Draining));
    before_kill(CLOSING).await;
    let answered = async {
        loop {
            run_turn(instance, |this| this.stop(ShutdownStage::ClosingIdle));
            Timer::after(Duration::from_millis(5)).await;
            // What the reactor woke with us goes first: a connection that waited in the backlog among it.
            yield_now().await;
            yield_now().await;
            if began.elapsed().as_secs_f64() >= COMING && instance.borrow().nothing_left() {
                break;
            }
        }
    };
    let ended = async {
        before_kill(END).await;
        run_turn(instance, |this| this.stop(ShutdownStage::Terminating));
        Timer::after(Duration::from_secs_f64(LAST_WRITES)).await;
    };
    answered.or(ended).await;
    log(instance);
}
