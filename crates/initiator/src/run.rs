//! Runs one instance from its start to its end: its options, and the tasks that it consists of.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use quaypath_settings::Deployment;
use tracing::info;

use crate::counts::Counts;
use crate::event_loop::run_timers;
use crate::fleet::{self, FleetDriver};
use crate::instance::Instance;
use crate::polls::{self, spawn, Peer, TaskKind};
use crate::{net, register};

/// Start parameters of one instance.
#[derive(Clone)]
pub struct Options {
    pub deployment: Rc<Deployment>,
    /// Number of this instance among the initiators.
    pub number: u32,
    pub seed: u64,
    /// File that holds the last received node list.
    pub list_path: PathBuf,
    /// Creates the decision core.
    pub core_factory: crate::core::CoreFactory,
    /// Membership in the fleet; none when the settings have no fleet.
    pub fleet: Option<fleet::Options>,
}

/// Runs one instance on a bound listener until `stop` completes, and returns its counters.
pub fn run(options: &Options, listener: TcpListener, stop: impl Future<Output = ()>) -> io::Result<Counts> {
    let listener = Async::new(listener)?;
    let executor = Rc::new(LocalExecutor::new());
    let instance = Instance::start(options, &executor);
    info!(address = %listener.get_ref().local_addr()?, number = options.number, "listening");
    let weak = Rc::downgrade(&instance);
    let accept = net::accept(weak.clone(), Rc::downgrade(&executor), listener);
    spawn(&executor, TaskKind::Accept, Peer::None, accept);
    spawn(&executor, TaskKind::Timers, Peer::None, run_timers(weak.clone()));
    spawn(&executor, TaskKind::Discovery, Peer::None, register::follow(weak.clone()));
    spawn(&executor, TaskKind::Report, Peer::None, log_counts(weak));
    let fleet =
        options.fleet.clone().map(|options| fleet::start(options, &executor, Rc::downgrade(&instance)));
    let fleet: Option<Rc<RefCell<FleetDriver>>> = fleet.transpose()?;
    async_io::block_on(polls::run(&executor, stop));
    fleet.into_iter().for_each(|fleet| fleet.borrow_mut().leave());
    let counts = instance.borrow_mut().current_counts();
    Ok(counts)
}

/// Logs the counters every 10 s.
async fn log_counts(instance: Weak<RefCell<Instance>>) {
    loop {
        Timer::after(Duration::from_secs(10)).await;
        let Some(instance) = instance.upgrade() else { return };
        let counts = serde_json::to_string(&instance.borrow_mut().current_counts()).unwrap_or_default();
        info!(counts, "counts");
    }
}
