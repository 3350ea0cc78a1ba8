//! The register's client: the register is a discovery controller. One association; the log is read whole, again
//! whenever its generation changed meanwhile, and again on every change event.

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

use crate::instance::Instance;
use crate::list::{Call, Entry, News, MOST_NODES};
use crate::queue::{ask, event, open_admin, Queue};
use crate::turns::{turn, within};

/// The well-known name of a discovery subsystem.
pub const DISCOVERY: &str = "nqn.2014-08.org.nvmexpress.discovery";
/// Waits between attempts to connect, seconds. Connections only: when to call is the core's.
const FIRST_WAIT: f64 = 0.1;
const LAST_WAIT: f64 = 2.0;
/// Time for one conversation with the register, seconds.
const PATIENCE: f64 = 2.0;
/// Times that a log which changes while it is read is read again.
const MOST_READS: usize = 20;
/// Bytes of the log read at a time, whole records.
const PIECE: usize = 32 * 1024;

/// Follows the register for the life of the instance. Where it must be asked, a call that fails or a connection
/// that ends is a failed call to the core, which decides when to call again.
pub async fn follow(instance: Weak<RefCell<Instance>>) {
    let mut wait = FIRST_WAIT;
    loop {
        let Some(this) = instance.upgrade() else { return };
        let (register, keep_alive, name, ready) = {
            let this = this.borrow();
            let keep_alive = this.deployment.connections.keep_alive;
            (this.deployment.register.clone(), keep_alive, this.name.clone(), this.calls_ready.clone())
        };
        drop(this);
        // An asked register is only connected to when there is something to ask.
        if register.mode == Mode::Asked {
            loop {
                let Some(this) = instance.upgrade() else { return };
                if !this.borrow().calls.is_empty() {
                    break;
                }
                drop(this);
                ready.wait().await;
            }
        }
        let opening = async {
            let address = register.address.parse().map_err(io::Error::other)?;
            let offer = Offer { keep_alive_ms: (keep_alive * 1e3) as u32, ..Offer::default() };
            let (queue, _) = open_admin(address, DISCOVERY, &name, offer, 0, true).await?;
            Ok(queue)
        };
        let ended = match within(PATIENCE, opening).await {
            Ok(queue) => {
                wait = FIRST_WAIT;
                talk(&instance, queue, register.mode, keep_alive).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = ended {
            debug!(%error, address = register.address, "register");
        }
        let Some(this) = instance.upgrade() else { return };
        turn(&this, |this| {
            // Whatever was asked of this connection is lost with it, and so is a watch.
            this.calls.clear();
            this.call_failed();
        });
        drop(this);
        if register.mode == Mode::Pushed {
            Timer::after(Duration::from_secs_f64(wait)).await;
            wait = (wait * 2.0).min(LAST_WAIT);
        }
    }
}

/// What ended a wait.
enum Woken {
    Event(Cqe),
    Called,
    Quiet,
}

async fn talk(
    instance: &Weak<RefCell<Instance>>, mut queue: Queue, mode: Mode, keep_alive: f64,
) -> io::Result<()> {
    let mut watches = mode == Mode::Pushed;
    let mut look = watches;
    let mut events = Vec::new();
    loop {
        let Some(this) = instance.upgrade() else { return Ok(()) };
        let (call, ready) = {
            let mut this = this.borrow_mut();
            (this.calls.pop_front(), this.calls_ready.clone())
        };
        drop(this);
        match call {
            Some(Call::Watch { on }) => (watches, look) = (on, on),
            Some(Call::Fetch) => look = true,
            None => {}
        }
        // An event is used up by telling of it: the next is asked for before the log is read.
        for _ in events.drain(..) {
            look |= watches;
            let (machine, _) = &mut queue;
            if let Some((_, bytes)) = machine.submit(plain(opcode::ASYNC_EVENT), Vec::new(), 0) {
                machine.out.extend(bytes);
            }
        }
        if look {
            look = false;
            let read = within(PATIENCE, read_list(&mut queue, &mut events)).await?;
            let Some(this) = instance.upgrade() else { return Ok(()) };
            match read {
                Ok(news) => turn(&this, |this| this.news(&news)),
                Err(status) => {
                    debug!(status, "a call to the register failed");
                    watches = mode == Mode::Pushed;
                    turn(&this, Instance::call_failed);
                }
            }
            continue;
        }
        let rest = if keep_alive > 0.0 { keep_alive / 3.0 } else { 3600.0 };
        let told = async { event(&mut queue).await.map(Woken::Event) };
        let called = async {
            ready.wait().await;
            Ok(Woken::Called)
        };
        let quiet = async {
            Timer::after(Duration::from_secs_f64(rest)).await;
            Ok(Woken::Quiet)
        };
        match told.or(called).or(quiet).await? {
            Woken::Event(cqe) => events.push(cqe),
            Woken::Called => {}
            Woken::Quiet => {
                let sqe = plain(opcode::KEEP_ALIVE);
                within(keep_alive.max(0.1), ask(&mut queue, sqe, Vec::new(), 0, &mut events)).await?;
            }
        }
    }
}

async fn page(
    queue: &mut Queue, page: u8, from: usize, length: usize, keep: bool, events: &mut Vec<Cqe>,
) -> io::Result<Result<Vec<u8>, u16>> {
    let sqe = get_log(page, from as u64, length, keep);
    let (cqe, data) = ask(queue, sqe, Vec::new(), admin::brings(&sqe), events).await?;
    Ok(if cqe.status == 0 { Ok(data) } else { Err(cqe.status) })
}

/// The discovery log and the access states, all of one generation; or the status of the call that failed.
async fn read_list(queue: &mut Queue, events: &mut Vec<Cqe>) -> io::Result<Result<News, u16>> {
    let broken = |what: &str| io::Error::other(format!("the register's log {what}"));
    for _ in 0..MOST_READS {
        // Reading from the start without RAE: further changes are told again.
        let head = match page(queue, log::DISCOVERY, 0, 1024, false, events).await? {
            Ok(head) => head,
            Err(status) => return Ok(Err(status)),
        };
        let (generation, count) = discovery_header(&head).ok_or_else(|| broken("has no header"))?;
        if count > MOST_NODES as u64 {
            warn!(count, "the register lists more nodes than are taken");
            return Err(broken("is too long"));
        }
        let (mut whole, length) = (head, 1024 * (count as usize + 1));
        while whole.len() < length {
            let piece = (length - whole.len()).min(PIECE);
            match page(queue, log::DISCOVERY, whole.len(), piece, true, events).await? {
                Ok(data) => whole.extend(data),
                Err(status) => return Ok(Err(status)),
            }
        }
        let states = match page(queue, log::ANA, 0, 16 + 32 * count as usize, false, events).await? {
            Ok(states) => states,
            Err(status) => return Ok(Err(status)),
        };
        let again = match page(queue, log::DISCOVERY, 0, 1024, true, events).await? {
            Ok(again) => again,
            Err(status) => return Ok(Err(status)),
        };
        let same = discovery_header(&again) == Some((generation, count));
        let states = access_groups(&states).filter(|(changes, _)| same && *changes == generation);
        // It changed while it was read: pieces of two lists would be a list that never was.
        let Some((_, groups)) = states else { continue };
        let mut entries = Vec::new();
        for at in 0..count as usize {
            let record =
                discovery_record(&whole, at).ok_or_else(|| broken("has a record that is not of TCP"))?;
            let group = groups.iter().find(|(id, ..)| *id == u32::from(record.port) + 1);
            let condition = match group.map(|(_, state, _)| *state) {
                Some(ana::OPTIMIZED) => NodeCondition::Ready,
                Some(ana::PERSISTENT_LOSS) => NodeCondition::Removed,
                _ => NodeCondition::Draining,
            };
            entries.push(Entry {
                node: format!("{}:{}", record.address, record.service),
                zone: record.zone,
                block: record.block,
                condition,
                age: record.age,
                start: record.start,
            });
        }
        return Ok(Ok(News { revision: generation, entries }));
    }
    Err(broken("never stands still"))
}
