//! The client connections of a gateway, and which of them are closed to make room for others.
//!
//! When all places are taken, a new connection gets the place of one that has been silent for long, or whose request has not
//! arrived in a fair time, or that is idle. If there is none, it is looked at in the lobby: only one whose first bytes are a
//! whole request gets a place, so that a crowd of unfinished requests cannot keep out clients that send theirs.

use std::collections::BTreeMap;
use std::rc::Rc;

use quaypath_initiator::event_loop::Notify;

/// Connections allowed beyond the limit, while the evicted ones close.
const MAX_CLOSING_CLIENTS: usize = 4;
/// A connection that has sent nothing may be evicted after this time, seconds.
const FIRST_REQUEST_GRACE: f64 = 0.2;
/// A connection in the middle of a request may be evicted once nothing has arrived for this time, seconds.
const STALLED_REQUEST_GRACE: f64 = 0.1;
/// A connection may be evicted when its request has been arriving for this time, seconds.
pub const SLOW_REQUEST_GRACE: f64 = 0.5;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Opened, and no complete request received yet.
    Fresh,
    /// Between two requests.
    Idle,
    /// A request is partly received.
    Reading,
    /// A transaction is open.
    Busy,
    /// The connection is to be closed, unless a request has arrived meanwhile.
    Closing,
    /// As `Closing`, and without lingering, because its descriptor is needed at once. If a request is partly received, the rest
    /// is not waited for.
    Evicted,
    /// No more is sent on it, and what still arrives is discarded for a limited time.
    Lingering,
}

/// A client connection. Every change of its state is made by [`ClientConnection::set_state`].
struct ClientConnection {
    state: ConnectionState,
    /// Since when it is in this state, seconds.
    since: f64,
    /// When a part of the current request arrived last, seconds.
    last_received: f64,
    /// Asks the task of the connection to close it.
    close_request: Rc<Notify>,
}

impl ClientConnection {
    fn set_state(&mut self, next: ConnectionState, now: f64) {
        (self.state, self.since) = (next, now);
        if matches!(next, ConnectionState::Closing | ConnectionState::Evicted) {
            self.close_request.notify();
        } else {
            // A request arrived before the close request, which must not take effect at the next wait.
            self.close_request.clear();
        }
    }

    /// Whether its request has not arrived in a fair time.
    fn is_stalled(&self, now: f64) -> bool {
        self.state == ConnectionState::Reading
            && (now - self.last_received > STALLED_REQUEST_GRACE || now - self.since > SLOW_REQUEST_GRACE)
    }

    /// Whether it waits for a request that has not arrived whole.
    fn is_unserved(&self) -> bool {
        matches!(self.state, ConnectionState::Fresh | ConnectionState::Reading)
    }
}

/// Which connections may be evicted, from the first choice to the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It was silent since it was opened some time ago, or it only lingers.
    Silent,
    /// Its request has not arrived in a fair time.
    Stalled,
    /// It is idle.
    Idle,
    /// Its request is arriving.
    Unfinished,
    /// It was just opened.
    Fresh,
}

/// What becomes of a connection that waits to be accepted.
pub enum Admission {
    /// It gets a place.
    Accept,
    /// It is looked at in the lobby.
    Lobby(LobbyPermit),
    /// It waits in the queue of the listener.
    Wait,
}

/// One of the limited number of connections that are in the lobby or being refused.
pub type LobbyPermit = Rc<()>;

/// A new connection: its number and its close request.
pub type AddedClient = (u64, Rc<Notify>);

/// The client connections by number.
pub struct ClientTable {
    connections: BTreeMap<u64, ClientConnection>,
    next_number: u64,
    max_connections: usize,
    /// Cloned for each connection in the lobby; the reference count limits their number.
    lobby_permit: LobbyPermit,
    max_in_lobby: usize,
    /// Number of connections that were evicted so far.
    evicted: u64,
}

impl ClientTable {
    pub fn new(max_connections: usize, max_in_lobby: usize) -> Self {
        ClientTable {
            connections: BTreeMap::new(),
            next_number: 1,
            max_connections,
            lobby_permit: Rc::default(),
            max_in_lobby,
            evicted: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Whether there is a free place.
    pub fn has_place(&self) -> bool {
        self.len() < self.max_connections
    }

    /// Whether more clients are connected than the limit allows, because evicted ones are still closing.
    pub fn is_over_limit(&self) -> bool {
        self.len() > self.max_connections
    }

    /// Whether more than half of the places are taken.
    pub fn is_under_pressure(&self) -> bool {
        2 * self.len() > self.max_connections
    }

    pub fn state(&self, number: u64) -> Option<ConnectionState> {
        self.connections.get(&number).map(|client| client.state)
    }

    /// Sets the state of a connection. A fresh connection does not become idle.
    pub fn set_state(&mut self, number: u64, next: ConnectionState, now: f64) {
        let Some(client) = self.connections.get_mut(&number) else { return };
        client.last_received = now;
        if client.state != next && (client.state, next) != (ConnectionState::Fresh, ConnectionState::Idle) {
            client.set_state(next, now);
        }
    }

    /// Lets a connection that was to be closed go on with the request that began to arrive at `began`.
    pub fn resume_request(&mut self, number: u64, began: f64, now: f64) {
        if let Some(client) = self.connections.get_mut(&number) {
            client.set_state(ConnectionState::Reading, began);
            client.last_received = now;
        }
    }

    pub fn add(&mut self, now: f64) -> AddedClient {
        let (number, close_request) = (self.next_number, Rc::<Notify>::default());
        self.next_number += 1;
        let client = ClientConnection {
            state: ConnectionState::Fresh,
            since: now,
            last_received: now,
            close_request: close_request.clone(),
        };
        self.connections.insert(number, client);
        (number, close_request)
    }

    pub fn remove(&mut self, number: u64) {
        self.connections.remove(&number);
    }

    /// Decides on a connection that waits to be accepted. If all places are taken, another connection may be evicted for it.
    pub fn admit(&mut self, now: f64) -> Admission {
        let lobby_is_full = Rc::strong_count(&self.lobby_permit) > self.max_in_lobby;
        if self.make_room(now, |rank| rank <= EvictionRank::Idle) {
            Admission::Accept
        } else if !lobby_is_full {
            Admission::Lobby(self.lobby_permit.clone())
        } else if self.make_room(now, |rank| rank == EvictionRank::Fresh) {
            Admission::Accept
        } else {
            Admission::Wait
        }
    }

    /// Adds a connection whose request has arrived whole; `None` if there is no place that it could get.
    pub fn add_with_request(&mut self, now: f64) -> Option<AddedClient> {
        self.make_room(now, |rank| rank <= EvictionRank::Unfinished).then(|| self.add(now))
    }

    /// Whether a place is free, or becomes free by the eviction of a connection of a rank that `may_evict`.
    fn make_room(&mut self, now: f64, may_evict: impl Fn(EvictionRank) -> bool) -> bool {
        if self.len() >= self.max_connections + MAX_CLOSING_CLIENTS {
            return false;
        }
        let closing = self.count(|client| client.state == ConnectionState::Evicted);
        self.len() - closing < self.max_connections || self.evict(now, may_evict)
    }

    fn count(&self, predicate: impl Fn(&ClientConnection) -> bool) -> usize {
        self.connections.values().filter(|client| predicate(client)).count()
    }

    /// Evicts one connection; false if there is none to evict. Of those of the same rank the one goes that has been in its
    /// state for longest. A connection with an open transaction is not evicted, and idle ones are not while others that wait
    /// for a request have more than half of the places.
    fn evict(&mut self, now: f64, may_evict: impl Fn(EvictionRank) -> bool) -> bool {
        let unserved = self.count(ClientConnection::is_unserved);
        let keeps_idle = 2 * unserved > self.max_connections;
        let rank = |client: &ClientConnection| match client.state {
            ConnectionState::Fresh if now - client.since > FIRST_REQUEST_GRACE => Some(EvictionRank::Silent),
            ConnectionState::Lingering => Some(EvictionRank::Silent),
            ConnectionState::Reading if client.is_stalled(now) => Some(EvictionRank::Stalled),
            ConnectionState::Idle if !keeps_idle => Some(EvictionRank::Idle),
            ConnectionState::Reading => Some(EvictionRank::Unfinished),
            ConnectionState::Fresh => Some(EvictionRank::Fresh),
            _ => None,
        };
        let candidates = self
            .connections
            .values_mut()
            .filter_map(|client| Some((rank(client).filter(|rank| may_evict(*rank))?, client)));
        let first = candidates
            .min_by(|left, right| left.0.cmp(&right.0).then(left.1.since.total_cmp(&right.1.since)));
        let Some((_, client)) = first else { return false };
        client.set_state(ConnectionState::Evicted, now);
        self.evicted += 1;
        true
    }

    /// Evicts all connections whose request has not arrived in a fair time.
    pub fn evict_stalled(&mut self, now: f64) {
        for client in self.connections.values_mut().filter(|client| client.is_stalled(now)) {
            client.set_state(ConnectionState::Evicted, now);
            self.evicted += 1;
        }
    }

    /// Closes connections that are idle for longer than `max_idle` seconds.
    pub fn close_idle(&mut self, now: f64, max_idle: f64) {
        self.close(now, |client| client.state == ConnectionState::Idle && now - client.since > max_idle);
    }

    /// Closes connections that wait for a request or for the rest of one.
    pub fn close_unserved(&mut self, now: f64) {
        self.close(now, ClientConnection::is_unserved);
    }

    fn close(&mut self, now: f64, predicate: impl Fn(&ClientConnection) -> bool) {
        self.connections
            .values_mut()
            .filter(|client| predicate(client))
            .for_each(|client| client.set_state(ConnectionState::Closing, now));
    }
}
