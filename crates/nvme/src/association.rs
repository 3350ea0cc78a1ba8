//! The associations of one controller's side: which connection is which queue of which host, and when one is lost.
//! Names of connections are the driver's.

use std::collections::BTreeMap;

use crate::admin::{Admin, Do, Notice, View};
use crate::command::{Cqe, Sqe, ANY_CONTROLLER};
use crate::status;

#[derive(Debug)]
pub struct Association {
    pub admin: Admin,
    pub host: String,
    /// Connections by queue; 0 is the admin queue.
    queues: BTreeMap<u16, u64>,
}

/// All associations, by controller id. An association ends as a whole: with its admin queue, with any of its I/O
/// queues, and when its keep alive runs out.
#[derive(Debug)]
pub struct Associations {
    next: u16,
    most: usize,
    all: BTreeMap<u16, Association>,
    of: BTreeMap<u64, (u16, u16)>,
}

impl Associations {
    /// Takes this many associations.
    pub fn new(most: usize) -> Self {
        Associations { next: 1, most: most.clamp(1, 0xff00), all: BTreeMap::new(), of: BTreeMap::new() }
    }

    /// A Connect on a connection: the controller's id, or the status that refuses it.
    pub fn connect(
        &mut self, now: f64, connection: u64, queue: u16, controller: u16, host: &str, keep_alive_ms: u32,
    ) -> Result<u16, u16> {
        if queue == 0 {
            if controller != ANY_CONTROLLER {
                return Err(status::CONNECT_INVALID | status::DNR);
            }
            if self.all.len() >= self.most {
                return Err(status::CONNECT_BUSY);
            }
            while self.all.contains_key(&self.next) {
                self.next = self.next % 0xfffe + 1;
            }
            let id = self.next;
            self.next = self.next % 0xfffe + 1;
            let admin = Admin::new(now, id, keep_alive_ms);
            let queues = BTreeMap::from([(0, connection)]);
            self.all.insert(id, Association { admin, host: host.into(), queues });
            self.of.insert(connection, (id, 0));
            return Ok(id);
        }
        let refuse = status::CONNECT_INVALID | status::DNR;
        let association = self.all.get_mut(&controller).ok_or(refuse)?;
        if association.host != host {
            // Another host's association is not to be had by its number.
            return Err(status::CONNECT_INVALID_HOST | status::DNR);
        }
        if !association.admin.serves() {
            return Err(status::COMMAND_SEQUENCE | status::DNR);
        }
        if queue > association.admin.queues() || association.queues.contains_key(&queue) {
            return Err(refuse);
        }
        association.queues.insert(queue, connection);
        association.admin.heard(now);
        self.of.insert(connection, (controller, queue));
        Ok(controller)
    }

    /// The association of a connection, and which queue it is.
    pub fn of(&mut self, connection: u64) -> Option<(&mut Association, u16)> {
        let (id, queue) = *self.of.get(&connection)?;
        Some((self.all.get_mut(&id)?, queue))
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The connection of another queue of the same association.
    pub fn beside(&self, connection: u64, queue: u16) -> Option<u64> {
        let (id, _) = self.of.get(&connection)?;
        self.all.get(id)?.queues.get(&queue).copied()
    }

    /// A command on an admin queue.
    pub fn command(&mut self, now: f64, connection: u64, sqe: &Sqe, view: &impl View) -> Option<Do> {
        let (association, _) = self.of(connection)?;
        Some(association.admin.command(now, sqe, view))
    }

    /// A sign of life on any queue.
    pub fn heard(&mut self, now: f64, connection: u64) {
        if let Some((association, _)) = self.of(connection) {
            association.admin.heard(now);
        }
    }

    /// A connection ended: the others of its association, which end with it.
    pub fn ended(&mut self, connection: u64) -> Vec<u64> {
        let Some((id, _)) = self.of.get(&connection).copied() else { return Vec::new() };
        let Some(association) = self.all.remove(&id) else { return Vec::new() };
        association.queues.values().for_each(|one| {
            self.of.remove(one);
        });
        association.queues.into_values().filter(|other| *other != connection).collect()
    }

    /// Admin connections of associations whose keep alive has run out by `now`.
    pub fn lost(&mut self, now: f64) -> Vec<u64> {
        let lost = self
            .all
            .values_mut()
            .filter_map(|one| one.admin.is_lost(now).then(|| one.queues.get(&0).copied()).flatten());
        lost.collect()
    }

    /// Completions of event requests to send, by admin connection.
    pub fn notice(&mut self, notice: Notice) -> Vec<(u64, Cqe)> {
        let told = self.all.values_mut().filter_map(|one| {
            let connection = one.queues.get(&0).copied()?;
            Some((connection, one.admin.notice(notice)?))
        });
        told.collect()
    }

    /// A completion that became due on this admin connection, after a request or a log page.
    pub fn due(&mut self, connection: u64) -> Option<Cqe> {
        self.of(connection)?.0.admin.due()
    }
}
