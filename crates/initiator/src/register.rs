//! Client of the register, which is an NVMe discovery controller. It uses one association. The discovery log is read as
//! a whole, again whenever its generation changed during the read, and again on every change event.

use std::cell::RefCell;
use std::io;
use std::rc::Weak;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use quaypath::types::NodeCondition;
use quaypath_nvme::admin::{
    self, access_groups, ana, discovery_header, discovery_record, get_log, log, plain,
};
use quaypath_nvme::command::{opcode, Cqe};
use quaypath_nvme::host::Offer;
use quaypath_settings::Mode;
use tracing::{debug, warn};

use crate::event_loop::{run_turn, with_timeout};
use crate::instance::Instance;
use crate::node_list::{ListSnapshot, NodeEntry, RegisterCall, MAX_NODES};
use crate::queue::{open_admin_queue, submit_and_wait, wait_for_event, Queue};

/// The well-known NVMe qualified name of the discovery subsystem.
pub const DISCOVERY_NQN: &str = "nqn.2014-08.org.nvmexpress.discovery";
/// First delay between connection attempts, doubled with each attempt, seconds. It applies to connections only: the
/// core decides when the register is called.
const BASE_RECONNECT_DELAY: f64 = 0.1;
/// Longest delay between connection attempts, seconds.
const MAX_RECONNECT_DELAY: f64 = 2.0;
/// Timeout of connecting to the register, and of reading the whole log, seconds.
const REGISTER_TIMEOUT: f64 = 2.0;
/// Maximum number of reads of a log that keeps changing while it is read.
const MAX_LOG_READS: usize = 20;
/// Size of one partial read of the log, bytes; a multiple of the record size.
const LOG_READ_BYTES: usize = 32 * 1024;

/// Keeps the node list up to date until the instance is dropped. When the settings say that the register has to be
/// asked (mode `asked`), a failed call or a lost connection is reported to the core, which decides when to call
/// again.
pub async fn follow(instance: Weak<RefCell<Instance>>) {
    let mut delay = BASE_RECONNECT_DELAY;
    loop {
        let Some(this) = instance.upgrade() else { return };
        let (register, keep_alive, host, register_calls_ready) = {
            let this = this.borrow();
            let keep_alive = this.deployment.connections.keep_alive;
            (
                this.deployment.register.clone(),
                keep_alive,
                this.name.clone(),
                this.register_calls_ready.clone(),
            )
        };
        drop(this);
        // In mode `asked`, the connection is only opened when there is a call to make.
        if register.mode == Mode::Asked {
            loop {
                let Some(this) = instance.upgrade() else { return };
                if !this.borrow().register_calls.is_empty() {
                    break;
                }
                drop(this);
                register_calls_ready.wait().await;
            }
        }
        let opening = async {
            let address = register.address.parse().map_err(io::Error::other)?;
            let offer = Offer { keep_alive_ms: (keep_alive * 1e3) as u32, ..Offer::default() };
            let (queue, _) = open_admin_queue(address, DISCOVERY_NQN, &host, offer, 0, true).await?;
            Ok(queue)
        };
        let result = match with_timeout(REGISTER_TIMEOUT, opening).await {
            Ok(queue) => {
                delay = BASE_RECONNECT_DELAY;
                serve_calls(&instance, queue, register.mode, keep_alive).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            debug!(%error, address = register.address, "the connection to the register ended");
        }
        let Some(this) = instance.upgrade() else { return };
        run_turn(&this, |this| {
            // Pending calls and the watch are lost together with the connection.
            this.register_calls.clear();
            this.register_call_failed();
        });
        drop(this);
        if register.mode == Mode::Pushed {
            Timer::after(Duration::from_secs_f64(delay)).await;
            delay = (delay * 2.0).min(MAX_RECONNECT_DELAY);
        }
    }
}

/// Reason why a wait ended.
enum Wakeup {
    /// The register completed an asynchronous event request.
    Event(Cqe),
    /// The core made a call.
    Call,
    /// A Keep Alive is due.
    KeepAliveDue,
}

/// Serves the core's calls and reads the log after each change event, until the connection fails or the instance is
/// dropped.
async fn serve_calls(
    instance: &Weak<RefCell<Instance>>, mut queue: Queue, mode: Mode, keep_alive: f64,
) -> io::Result<()> {
    let mut is_watching = mode == Mode::Pushed;
    let mut must_read = is_watching;
    let mut events = Vec::new();
    loop {
        let Some(this) = instance.upgrade() else { return Ok(()) };
        let (call, register_calls_ready) = {
            let mut this = this.borrow_mut();
            (this.register_calls.pop_front(), this.register_calls_ready.clone())
        };
        drop(this);
        match call {
            Some(RegisterCall::Watch { on }) => (is_watching, must_read) = (on, on),
            Some(RegisterCall::Fetch) => must_read = true,
            None => {}
        }
        // An event request completes with one event. The next request is submitted before the log is read, so that no
        // change is missed.
        for _ in events.drain(..) {
            must_read |= is_watching;
            let (machine, _) = &mut queue;
            if let Some((_, bytes)) = machine.submit(plain(opcode::ASYNC_EVENT), Vec::new(), 0) {
                machine.out.extend(bytes);
            }
        }
        if must_read {
            must_read = false;
            let read = with_timeout(REGISTER_TIMEOUT, read_list(&mut queue, &mut events)).await?;
            let Some(this) = instance.upgrade() else { return Ok(()) };
            match read {
                Ok(snapshot) => run_turn(&this, |this| this.list_received(&snapshot)),
                Err(status) => {
                    debug!(status, "the register answered a call with an error status");
                    is_watching = mode == Mode::Pushed;
                    run_turn(&this, Instance::register_call_failed);
                }
            }
            continue;
        }
        let keep_alive_interval = if keep_alive > 0.0 { keep_alive / 3.0 } else { 3600.0 };
        let next_event = async { wait_for_event(&mut queue).await.map(Wakeup::Event) };
        let next_call = async {
            register_calls_ready.wait().await;
            Ok(Wakeup::Call)
        };
        let keep_alive_due = async {
            Timer::after(Duration::from_secs_f64(keep_alive_interval)).await;
            Ok(Wakeup::KeepAliveDue)
        };
        match next_event.or(next_call).or(keep_alive_due).await? {
            Wakeup::Event(cqe) => events.push(cqe),
            Wakeup::Call => {}
            Wakeup::KeepAliveDue => {
                let sqe = plain(opcode::KEEP_ALIVE);
                with_timeout(
                    keep_alive.max(0.1),
                    submit_and_wait(&mut queue, sqe, Vec::new(), 0, &mut events),
                )
                .await?;
            }
        }
    }
}

/// Reads `length` bytes of a log page from offset `offset` on. With `retain_event`, a pending change event stays
/// pending. The inner error is the status of a failed command.
async fn read_log_page(
    queue: &mut Queue, page: u8, offset: usize, length: usize, retain_event: bool, events: &mut Vec<Cqe>,
) -> io::Result<Result<Vec<u8>, u16>> {
    let sqe = get_log(page, offset as u64, length, retain_event);
    let (cqe, data) = submit_and_wait(queue, sqe, Vec::new(), admin::brings(&sqe), events).await?;
    Ok(if cqe.status == 0 { Ok(data) } else { Err(cqe.status) })
}

/// Reads the discovery log and the ANA access states, all of one generation. The inner error is the status of a failed
/// command.
async fn read_list(queue: &mut Queue, events: &mut Vec<Cqe>) -> io::Result<Result<ListSnapshot, u16>> {
    let invalid_log = |defect: &str| io::Error::other(format!("the register's log {defect}"));
    for _ in 0..MAX_LOG_READS {
        // Reading the start of the log with RAE cleared enables the next change event.
        let header = match read_log_page(queue, log::DISCOVERY, 0, 1024, false, events).await? {
            Ok(header) => header,
            Err(status) => return Ok(Err(status)),
        };
        let (generation, count) = discovery_header(&header).ok_or_else(|| invalid_log("has no header"))?;
        if count > MAX_NODES as u64 {
            warn!(count, "the register lists more nodes than the limit; the list is ignored");
            return Err(invalid_log("lists too many nodes"));
        }
        let (mut log_bytes, length) = (header, 1024 * (count as usize + 1));
        while log_bytes.len() < length {
            let part = (length - log_bytes.len()).min(LOG_READ_BYTES);
            match read_log_page(queue, log::DISCOVERY, log_bytes.len(), part, true, events).await? {
                Ok(data) => log_bytes.extend(data),
                Err(status) => return Ok(Err(status)),
            }
        }
        let states = match read_log_page(queue, log::ANA, 0, 16 + 32 * count as usize, false, events).await? {
            Ok(states) => states,
            Err(status) => return Ok(Err(status)),
        };
        let header_after = match read_log_page(queue, log::DISCOVERY, 0, 1024, true, events).await? {
            Ok(header) => header,
            Err(status) => return Ok(Err(status)),
        };
        let is_unchanged = discovery_header(&header_after) == Some((generation, count));
        let states = access_groups(&states).filter(|(changes, _)| is_unchanged && *changes == generation);
        // The log changed while it was read. Parts of two generations would make a list that never existed, so the log
        // is read again.
        let Some((_, groups)) = states else { continue };
        let mut entries = Vec::new();
        for index in 0..count as usize {
            let record = discovery_record(&log_bytes, index)
                .ok_or_else(|| invalid_log("has a record that is not of the TCP transport"))?;
            let group = groups.iter().find(|(id, ..)| *id == u32::from(record.port) + 1);
            let condition = match group.map(|(_, state, _)| *state) {
                Some(ana::OPTIMIZED) => NodeCondition::Ready,
                Some(ana::PERSISTENT_LOSS) => NodeCondition::Removed,
                _ => NodeCondition::Draining,
            };
            entries.push(NodeEntry {
                node: format!("{}:{}", record.address, record.service),
                zone: record.zone,
                block: record.block,
                condition,
                age: record.age,
                start: record.start,
            });
        }
        return Ok(Ok(ListSnapshot { revision: generation, entries }));
    }
    Err(invalid_log("changed during every read"))
}
