//! Relays for the links between processes: datagrams between members of a fleet, and connections of gateways to nodes
//! and to the register. Faults of links are switched on them while they run, and they record the reports that members
//! send to each other.
//!
//! Each member has one relay address, to which all other members send. The sender is identified by its source address.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{bounded, Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use quaypath_fleet::message::{Message, MessageKind, MAX_DATAGRAM_BYTES};
use quaypath_fleet::Status;
use quaypath_record::{Event as Line, Writer};
use quaypath_settings::{FaultKind, LinkEnd};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::runtime::Runtime;

/// Maximum number of chunks in transit in one direction of a connection.
const MAX_CHUNKS: usize = 64;
/// Maximum size of a chunk, bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of datagrams that are delayed at a time; further ones are sent without delay.
const MAX_DELAYED_DATAGRAMS: usize = 8192;
/// Interval at which a connection checks the faults of its link, seconds.
const CHECK_INTERVAL: f64 = 0.02;
/// Maximum delay of a reordered datagram, seconds.
const MAX_REORDER_DELAY: f64 = 0.1;

/// A fault that is switched on.
#[derive(Clone, Debug)]
struct ActiveFault {
    kind: FaultKind,
    from: BTreeSet<LinkEnd>,
    to: BTreeSet<LinkEnd>,
    /// Seconds for `Delay`, bytes per second for `Drip`, a probability for `Lose`, `Repeat`, `Reorder` and `Garble`; not
    /// used by the other kinds.
    size: f64,
}

impl ActiveFault {
    /// Whether the fault affects data from `from` to `to`. All kinds but `OneWay` affect both directions.
    fn affects(&self, from: LinkEnd, to: LinkEnd) -> bool {
        let one_way = self.from.contains(&from) && self.to.contains(&to);
        one_way || self.kind != FaultKind::OneWay && self.from.contains(&to) && self.to.contains(&from)
    }
}

/// State of the relays, shared with the controlling thread.
#[derive(Default)]
struct State {
    active: Vec<ActiveFault>,
    /// Number of the member and number of its process, by source address.
    sources: HashMap<SocketAddr, (u32, u32)>,
    /// Addresses of the running processes of each member.
    destinations: BTreeMap<u32, Vec<SocketAddr>>,
    /// Relay address by gateway and destination address.
    relays: HashMap<(u32, SocketAddr), SocketAddr>,
    /// How often faults were injected, by kind; a run without any would prove nothing.
    injected: BTreeMap<String, u64>,
}

type SharedState = Arc<Mutex<State>>;

/// Effect of the active faults on one datagram.
#[derive(Default)]
struct DatagramEffect {
    lost: bool,
    /// Number of datagrams to send, 1 without a fault.
    copies: u32,
    /// Seconds.
    delay: f64,
    corrupted: bool,
}

impl State {
    /// Active faults that affect data from `from` to `to`.
    fn faults_between(&self, from: LinkEnd, to: LinkEnd) -> impl Iterator<Item = &ActiveFault> {
        self.active.iter().filter(move |fault| fault.affects(from, to))
    }

    /// Counts one occurrence of a fault.
    fn count_injected(&mut self, kind: FaultKind) {
        *self.injected.entry(format!("{kind:?}")).or_default() += 1;
    }

    /// Draws the effect of the active faults on one datagram and counts them.
    fn datagram_effect(&mut self, from: LinkEnd, to: LinkEnd, random: &mut SmallRng) -> DatagramEffect {
        let mut effect = DatagramEffect { copies: 1, ..DatagramEffect::default() };
        let mut injected = Vec::new();
        for fault in self.faults_between(from, to) {
            let occurs = match fault.kind {
                FaultKind::Cut | FaultKind::OneWay | FaultKind::Hole | FaultKind::Delay => true,
                FaultKind::Lose | FaultKind::Repeat | FaultKind::Reorder | FaultKind::Garble => {
                    random.random::<f64>() < fault.size
                }
                _ => false,
            };
            if !occurs {
                continue;
            }
            injected.push(fault.kind);
            match fault.kind {
                FaultKind::Delay => effect.delay += fault.size * random.random_range(0.5..1.5),
                FaultKind::Repeat => effect.copies += 1,
                FaultKind::Reorder => effect.delay += random.random_range(0.0..MAX_REORDER_DELAY),
                FaultKind::Garble => effect.corrupted = true,
                _ => effect.lost = true,
            }
        }
        injected.into_iter().for_each(|kind| self.count_injected(kind));
        effect
    }
}

/// The relays of one run, on a thread of their own.
pub struct Links {
    /// Relay address to which datagrams for each member are to be sent.
    pub member_addresses: BTreeMap<u32, SocketAddr>,
    state: SharedState,
    /// Requests to open a relay: its listener, the link ends of gateway and destination, and the destination address.
    requests: Sender<(TcpListener, LinkEnd, LinkEnd, SocketAddr)>,
    _running: Runtime,
}

/// What is needed to decode and record the datagrams of members.
#[derive(Clone)]
struct Observer {
    /// Hash of the name of the fleet.
    fleet: u64,
    record: Writer,
}

impl Links {
    /// Starts the relays for the members 0 to `members` - 1 of the named fleet.
    pub fn start(fleet: &str, members: u32, seed: u64, record: Writer) -> io::Result<Links> {
        let mut sockets = Vec::new();
        for number in 0..members {
            let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            sockets.push((number, socket));
        }
        let addresses = sockets
            .iter()
            .map(|(number, socket)| Ok((*number, socket.local_addr()?)))
            .collect::<io::Result<_>>()?;
        let state = SharedState::default();
        let (requests, requested) = bounded(1024);
        let (shared, observer) =
            (state.clone(), Observer { fleet: quaypath_fleet::message::fleet_hash(fleet), record });
        let running = Runtime::start("links", move |executor| {
            let weak = Rc::downgrade(executor);
            let delayed_count = Rc::new(std::cell::Cell::new(0));
            let (traffic, last_reported) = (Traffic::default(), LastReported::default());
            for (number, socket) in sockets {
                let Ok(socket) = Async::new(socket) else { continue };
                let relay = Relay {
                    number,
                    socket: Rc::new(socket),
                    state: shared.clone(),
                    observer: observer.clone(),
                    random: SmallRng::seed_from_u64(seed ^ u64::from(number) << 20),
                    delayed_count: delayed_count.clone(),
                    traffic: traffic.clone(),
                    last_reported: last_reported.clone(),
                };
                executor.spawn(relay.run(weak.clone())).detach();
            }
            executor.spawn(record_traffic(traffic, observer)).detach();
            executor.spawn(open_relays(requested, shared, weak)).detach();
        });
        Ok(Links { member_addresses: addresses, state, requests, _running: running })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Adds a process of a member: it sends from `address` and receives the datagrams for the member there.
    pub fn add_process(&self, number: u32, process: u32, address: SocketAddr) {
        let mut state = self.state();
        state.sources.insert(address, (number, process));
        state.destinations.entry(number).or_default().push(address);
    }

    /// Removes a process that has ended.
    pub fn remove_process(&self, number: u32, address: SocketAddr) {
        let mut state = self.state();
        state.sources.remove(&address);
        state.destinations.entry(number).or_default().retain(|destination| *destination != address);
    }

    /// Address of the relay through which a gateway reaches `address`; the relay is opened at the first call.
    pub fn relay_address(&self, gateway: u32, to: LinkEnd, address: SocketAddr) -> io::Result<SocketAddr> {
        relay_to(&self.state, &self.requests, gateway, to, address)
    }

    /// Map of node addresses to relay addresses for the register. `link_end_of` gives the link end of a node address; a
    /// node without one keeps its address.
    pub fn relay_addresses(
        &self, link_end_of: impl Fn(&str) -> Option<LinkEnd> + Send + Sync + 'static,
    ) -> crate::register::AddressMap {
        let (state, requests) = (self.state.clone(), self.requests.clone());
        Arc::new(move |gateway, node| {
            let destination = node.parse().ok().zip(link_end_of(node));
            let relay = destination
                .and_then(|(address, link_end)| relay_to(&state, &requests, gateway, link_end, address).ok());
            relay.map_or_else(|| node.to_string(), |address| address.to_string())
        })
    }

    /// Switches a fault on or off.
    pub fn set_fault(
        &self, kind: FaultKind, from: &BTreeSet<LinkEnd>, to: &BTreeSet<LinkEnd>, size: f64, begins: bool,
    ) {
        let fault = ActiveFault { kind, from: from.clone(), to: to.clone(), size };
        let mut state = self.state();
        if begins {
            state.active.push(fault);
        } else if let Some(index) = state
            .active
            .iter()
            .position(|active| active.kind == kind && active.from == fault.from && active.to == fault.to)
        {
            state.active.remove(index);
        }
    }

    /// How often each kind of fault was injected.
    pub fn injected_faults(&self) -> BTreeMap<String, u64> {
        self.state().injected.clone()
    }
}

/// Address of the relay from a gateway to `address`; requests a new relay if there is none.
fn relay_to(
    state: &SharedState, requests: &Sender<(TcpListener, LinkEnd, LinkEnd, SocketAddr)>, gateway: u32,
    to: LinkEnd, address: SocketAddr,
) -> io::Result<SocketAddr> {
    let mut state = state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    if let Some(existing) = state.relays.get(&(gateway, address)) {
        return Ok(*existing);
    }
    let listener = crate::target::loopback_listener()?;
    let relay_address = listener.local_addr()?;
    let sent = requests.try_send((listener, LinkEnd::Gateway(gateway), to, address));
    sent.map_err(|_| io::Error::other("too many links open at once"))?;
    state.relays.insert((gateway, address), relay_address);
    Ok(relay_address)
}

/// Datagrams, bytes and longest datagram in bytes that each process sent since the last record line, by member and
/// process number.
type Traffic = Rc<std::cell::RefCell<BTreeMap<(u32, u32), (u64, u64, u64)>>>;

/// Records the traffic of each process every second.
async fn record_traffic(traffic: Traffic, observer: Observer) {
    let mut last = observer.record.clock.now();
    loop {
        Timer::after(Duration::from_secs(1)).await;
        let t = observer.record.clock.now();
        for ((gateway, process), (datagrams, bytes, longest)) in std::mem::take(&mut *traffic.borrow_mut()) {
            let seconds = t - last;
            observer.record.put(Line::MemberTraffic {
                t,
                gateway,
                process,
                seconds,
                datagrams,
                bytes,
                longest,
            });
        }
        last = t;
    }
}

/// The relay of the datagrams that are sent to one member.
struct Relay {
    /// Number of the member.
    number: u32,
    socket: Rc<Async<UdpSocket>>,
    state: SharedState,
    observer: Observer,
    random: SmallRng,
    /// Datagrams of all relays that are delayed at present.
    delayed_count: Rc<std::cell::Cell<usize>>,
    traffic: Traffic,
    last_reported: LastReported,
}

/// Status that each process reported last of each member, by member number and process number of the sender and by
/// reported member.
type LastReported = Rc<std::cell::RefCell<HashMap<(u32, u32, u16), Status>>>;

impl Relay {
    async fn run(mut self, executor: Weak<LocalExecutor<'static>>) {
        let mut bytes = vec![0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut bytes).await else { continue };
            let Some(executor) = executor.upgrade() else { return };
            self.forward(&executor, bytes[..length].to_vec(), source);
        }
    }

    /// Forwards a datagram under the active faults. Datagrams from unknown sources are dropped.
    fn forward(&mut self, executor: &Rc<LocalExecutor<'static>>, mut bytes: Vec<u8>, source: SocketAddr) {
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let Some((from, process)) = state.sources.get(&source).copied() else { return };
        self.observe(from, process, &bytes);
        let effect =
            state.datagram_effect(LinkEnd::Gateway(from), LinkEnd::Gateway(self.number), &mut self.random);
        let destinations = state.destinations.get(&self.number).cloned().unwrap_or_default();
        drop(state);
        if effect.lost {
            return;
        }
        if effect.corrupted && !bytes.is_empty() {
            for _ in 0..self.random.random_range(1..4) {
                let index = self.random.random_range(0..bytes.len());
                bytes[index] ^= self.random.random_range(1..=255u8);
            }
        }
        for destination in destinations.into_iter().filter(|destination| *destination != source) {
            for _ in 0..effect.copies {
                if effect.delay <= 0.0 || self.delayed_count.get() >= MAX_DELAYED_DATAGRAMS {
                    let _ = self.socket.get_ref().send_to(&bytes, destination);
                    continue;
                }
                let (socket, bytes, delayed_count) =
                    (self.socket.clone(), bytes.clone(), self.delayed_count.clone());
                delayed_count.set(delayed_count.get() + 1);
                let send_delayed = async move {
                    Timer::after(Duration::from_secs_f64(effect.delay)).await;
                    let _ = socket.get_ref().send_to(&bytes, destination);
                    delayed_count.set(delayed_count.get() - 1);
                };
                executor.spawn(send_delayed).detach();
            }
        }
    }

    /// Counts a datagram and records the member status that it reports.
    fn observe(&self, gateway: u32, process: u32, bytes: &[u8]) {
        let (t, length) = (self.observer.record.clock.now(), bytes.len() as u64);
        let mut traffic = self.traffic.borrow_mut();
        let (datagrams, sum, longest) = traffic.entry((gateway, process)).or_default();
        (*datagrams, *sum, *longest) = (*datagrams + 1, *sum + length, length.max(*longest));
        drop(traffic);
        let Ok(message) = Message::decode(self.observer.fleet, bytes) else { return };
        // A state page is the view of its sender and is recorded whole; from other messages only changes are recorded.
        let mut last_reported = self.last_reported.borrow_mut();
        let updates = message.updates.iter().filter(|update| {
            let previous = last_reported.insert((gateway, process, update.member.0), update.status);
            message.kind == MessageKind::StatePage || previous != Some(update.status)
        });
        let updates: Vec<_> = updates.collect();
        if updates.is_empty() {
            return;
        }
        // A member that left in order is neither live nor dead.
        let members_with = |statuses: &[Status]| {
            let matching = updates.iter().filter(|update| statuses.contains(&update.status));
            matching.map(|update| u32::from(update.member.0)).collect()
        };
        let (live, dead) = (members_with(&[Status::Alive, Status::Suspect]), members_with(&[Status::Dead]));
        let incarnation = message.incarnation;
        self.observer.record.put(Line::MemberView { t, gateway, process, incarnation, live, dead });
    }
}

/// Opens relays of connections when they are requested.
async fn open_relays(
    requested: Receiver<(TcpListener, LinkEnd, LinkEnd, SocketAddr)>, state: SharedState,
    executor: Weak<LocalExecutor<'static>>,
) {
    while let Ok((listener, from, to, address)) = requested.recv().await {
        let (Some(executor), Ok(listener)) = (executor.upgrade(), Async::new(listener)) else { return };
        let (state, weak) = (state.clone(), Rc::downgrade(&executor));
        let accept_loop = async move {
            loop {
                let Ok((gateway_stream, _)) = listener.accept().await else {
                    Timer::after(Duration::from_millis(20)).await;
                    continue;
                };
                let Some(executor) = weak.upgrade() else { return };
                executor.spawn(join(gateway_stream, from, to, address, state.clone(), weak.clone())).detach();
            }
        };
        executor.spawn(accept_loop).detach();
    }
}

/// State of a link for connections.
enum LinkState {
    Open {
        /// Seconds.
        delay: f64,
        /// Maximum rate in bytes per second; infinite without a fault.
        rate: f64,
    },
    /// No data passes, but connections stay open.
    Stalled,
    /// Connections are reset and new ones are closed.
    Cut,
}

/// State of the link from `from` to `to` now; counts the faults that cause it.
fn link_state(state: &SharedState, from: LinkEnd, to: LinkEnd) -> LinkState {
    let mut state = state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (mut delay, mut rate, mut blocking) = (0.0, f64::INFINITY, None);
    for fault in state.faults_between(from, to) {
        match fault.kind {
            FaultKind::Cut => blocking = Some(FaultKind::Cut),
            FaultKind::Hole | FaultKind::OneWay => blocking = blocking.or(Some(fault.kind)),
            FaultKind::Delay => delay += fault.size,
            FaultKind::Drip => rate = fault.size.min(rate),
            _ => {}
        }
    }
    match blocking {
        Some(kind) => {
            state.count_injected(kind);
            if kind == FaultKind::Cut {
                LinkState::Cut
            } else {
                LinkState::Stalled
            }
        }
        None => {
            if delay > 0.0 {
                state.count_injected(FaultKind::Delay);
            }
            if rate.is_finite() {
                state.count_injected(FaultKind::Drip);
            }
            LinkState::Open { delay, rate }
        }
    }
}

/// Connects to the destination of a connection and relays both directions.
async fn join(
    gateway_stream: Async<TcpStream>, from: LinkEnd, to: LinkEnd, address: SocketAddr, state: SharedState,
    executor: Weak<LocalExecutor<'static>>,
) {
    if matches!(link_state(&state, from, to), LinkState::Cut) {
        return;
    }
    let Ok(peer_stream) = Async::<TcpStream>::connect(address).await else { return };
    for stream in [&gateway_stream, &peer_stream] {
        let _ = stream.get_ref().set_nodelay(true);
    }
    let (gateway_stream, peer_stream) = (Rc::new(gateway_stream), Rc::new(peer_stream));
    let Some(executor) = executor.upgrade() else { return };
    for (input, output, from, to) in
        [(gateway_stream.clone(), peer_stream.clone(), from, to), (peer_stream, gateway_stream, to, from)]
    {
        let (sender, receiver) = bounded(MAX_CHUNKS);
        let (reader_state, writer_state) = (state.clone(), state.clone());
        executor.spawn(read_direction(input.clone(), sender, from, to, reader_state)).detach();
        executor.spawn(write_direction(input, output, receiver, from, to, writer_state)).detach();
    }
}

/// Awaits `operation` for at most [`CHECK_INTERVAL`].
async fn until_next_check<R>(operation: impl Future<Output = R>) -> Option<R> {
    let timeout = async {
        Timer::after(Duration::from_secs_f64(CHECK_INTERVAL)).await;
        None
    };
    async { Some(operation.await) }.or(timeout).await
}

fn close(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
}

/// Reads one direction. While the link stalls nothing is read, so that the socket buffers fill up as on a real link.
async fn read_direction(
    input: Rc<Async<TcpStream>>, chunks: Sender<(f64, Vec<u8>)>, from: LinkEnd, to: LinkEnd,
    state: SharedState,
) {
    let clock = quaypath_record::Clock::default();
    let mut bytes = vec![0; CHUNK_BYTES];
    loop {
        let delay = match link_state(&state, from, to) {
            LinkState::Open { delay, .. } => delay,
            LinkState::Stalled => {
                Timer::after(Duration::from_secs_f64(CHECK_INTERVAL)).await;
                continue;
            }
            LinkState::Cut => {
                // The connection is reset instead of closed in order, so that data in transit is lost.
                let _ = socket2::SockRef::from(input.get_ref()).set_linger(Some(Duration::ZERO));
                return close(&input);
            }
        };
        let mut reader = &*input;
        let chunk = match until_next_check(reader.read(&mut bytes)).await {
            None => continue,
            Some(Ok(0) | Err(_)) => return,
            Some(Ok(length)) => bytes[..length].to_vec(),
        };
        if chunks.send((clock.now() + delay, chunk)).await.is_err() {
            return;
        }
    }
}

/// Writes one direction, each chunk after its delay.
async fn write_direction(
    input: Rc<Async<TcpStream>>, output: Rc<Async<TcpStream>>, chunks: Receiver<(f64, Vec<u8>)>,
    from: LinkEnd, to: LinkEnd, state: SharedState,
) {
    let clock = quaypath_record::Clock::default();
    let mut writer = &*output;
    while let Ok((due, bytes)) = chunks.recv().await {
        Timer::after(Duration::from_secs_f64((due - clock.now()).max(0.0))).await;
        let mut remaining = &bytes[..];
        while !remaining.is_empty() {
            let rate = match link_state(&state, from, to) {
                LinkState::Open { rate, .. } => rate,
                LinkState::Stalled => {
                    Timer::after(Duration::from_secs_f64(CHECK_INTERVAL)).await;
                    continue;
                }
                LinkState::Cut => break,
            };
            let length =
                if rate.is_finite() { ((rate * CHECK_INTERVAL) as usize).max(1) } else { CHUNK_BYTES };
            let (part, unwritten) = remaining.split_at(length.min(remaining.len()));
            if writer.write_all(part).await.is_err() {
                return close(&input);
            }
            remaining = unwritten;
            if rate.is_finite() {
                Timer::after(Duration::from_secs_f64(part.len() as f64 / rate)).await;
            }
        }
    }
    // The input has ended, so the output is closed too.
    close(&output);
}
