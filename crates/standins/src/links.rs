//! A relay for every ordered pair of processes: datagrams between members of a fleet, connections of gateways to
//! nodes and the register. Faults of links are switched on it, and it writes down what members tell each other.
//!
//! Each member has one address at the relay that all others send to; who sent is told by the sender's own address.

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

/// Pieces of one direction of a connection that are on their way, and their size, bytes.
const MOST_PIECES: usize = 64;
const PIECE: usize = 16 << 10;
/// Datagrams that are held back for later at a time; more go at once.
const MOST_LATE: usize = 8192;
/// How often a connection looks whether its link still stands, seconds.
const LOOK: f64 = 0.02;
/// How much later a reordered datagram may come, seconds.
const BEHIND: f64 = 0.1;

/// A fault that is on.
#[derive(Clone, Debug)]
struct On {
    kind: FaultKind,
    from: BTreeSet<LinkEnd>,
    to: BTreeSet<LinkEnd>,
    size: f64,
}

impl On {
    fn touches(&self, from: LinkEnd, to: LinkEnd) -> bool {
        let one_way = self.from.contains(&from) && self.to.contains(&to);
        one_way || self.kind != FaultKind::OneWay && self.from.contains(&to) && self.to.contains(&from)
    }
}

#[derive(Default)]
struct State {
    on: Vec<On>,
    /// By address: number of a member, and which process of that number it is.
    sources: HashMap<SocketAddr, (u32, u32)>,
    homes: BTreeMap<u32, Vec<SocketAddr>>,
    /// By gateway and what it reaches: the relay's address for it.
    reached: HashMap<(u32, SocketAddr), SocketAddr>,
    /// Times that a fault struck, by kind: a quiet day proves nothing.
    struck: BTreeMap<String, u64>,
}

type Shared = Arc<Mutex<State>>;

/// What becomes of one datagram.
#[derive(Default)]
struct Fate {
    lost: bool,
    copies: u32,
    late: f64,
    garbled: bool,
}

impl State {
    fn touching(&self, from: LinkEnd, to: LinkEnd) -> impl Iterator<Item = &On> {
        self.on.iter().filter(move |on| on.touches(from, to))
    }

    fn strike(&mut self, kind: FaultKind) {
        *self.struck.entry(format!("{kind:?}")).or_default() += 1;
    }

    fn fate(&mut self, from: LinkEnd, to: LinkEnd, chance: &mut SmallRng) -> Fate {
        let mut fate = Fate { copies: 1, ..Fate::default() };
        let mut struck = Vec::new();
        for on in self.touching(from, to) {
            let hit = match on.kind {
                FaultKind::Cut | FaultKind::OneWay | FaultKind::Hole | FaultKind::Delay => true,
                FaultKind::Lose | FaultKind::Repeat | FaultKind::Reorder | FaultKind::Garble => {
                    chance.random::<f64>() < on.size
                }
                _ => false,
            };
            if !hit {
                continue;
            }
            struck.push(on.kind);
            match on.kind {
                FaultKind::Delay => fate.late += on.size * chance.random_range(0.5..1.5),
                FaultKind::Repeat => fate.copies += 1,
                FaultKind::Reorder => fate.late += chance.random_range(0.0..BEHIND),
                FaultKind::Garble => fate.garbled = true,
                _ => fate.lost = true,
            }
        }
        struck.into_iter().for_each(|kind| self.strike(kind));
        fate
    }
}

/// The links of a day.
pub struct Links {
    /// Where each member's datagrams are to be sent.
    pub member_addresses: BTreeMap<u32, SocketAddr>,
    state: Shared,
    opens: Sender<(TcpListener, LinkEnd, LinkEnd, SocketAddr)>,
    _running: Runtime,
}

/// What members tell is read by.
#[derive(Clone)]
struct Ears {
    fleet: u64,
    record: Writer,
}

impl Links {
    /// A relay for so many members of a fleet of that name.
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
        let state = Shared::default();
        let (opens, opened) = bounded(1024);
        let (shared, ears) =
            (state.clone(), Ears { fleet: quaypath_fleet::message::fleet_hash(fleet), record });
        let running = Runtime::start("links", move |executor| {
            let weak = Rc::downgrade(executor);
            let late = Rc::new(std::cell::Cell::new(0));
            let (meters, told) = (Meters::default(), SaidOf::default());
            for (number, socket) in sockets {
                let Ok(socket) = Async::new(socket) else { continue };
                let relay = Relay {
                    number,
                    socket: Rc::new(socket),
                    state: shared.clone(),
                    ears: ears.clone(),
                    chance: SmallRng::seed_from_u64(seed ^ u64::from(number) << 20),
                    late: late.clone(),
                    meters: meters.clone(),
                    told: told.clone(),
                };
                executor.spawn(relay.run(weak.clone())).detach();
            }
            executor.spawn(report(meters, ears)).detach();
            executor.spawn(open(opened, shared, weak)).detach();
        });
        Ok(Links { member_addresses: addresses, state, opens, _running: running })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A process of this number sends from here, and takes what is sent to its number.
    pub fn add_process(&self, number: u32, process: u32, address: SocketAddr) {
        let mut state = self.state();
        state.sources.insert(address, (number, process));
        state.homes.entry(number).or_default().push(address);
    }

    /// That process is no more.
    pub fn remove_process(&self, number: u32, address: SocketAddr) {
        let mut state = self.state();
        state.sources.remove(&address);
        state.homes.entry(number).or_default().retain(|home| *home != address);
    }

    /// Where a gateway reaches this address, through a relay of its own.
    pub fn relay_address(&self, gateway: u32, to: LinkEnd, address: SocketAddr) -> io::Result<SocketAddr> {
        reach(&self.state, &self.opens, gateway, to, address)
    }

    /// The same, for the register to tell.
    pub fn relay_addresses(
        &self, of: impl Fn(&str) -> Option<LinkEnd> + Send + Sync + 'static,
    ) -> crate::register::AddressMap {
        let (state, opens) = (self.state.clone(), self.opens.clone());
        Arc::new(move |gateway, node| {
            let reached = node.parse().ok().zip(of(node));
            let reached =
                reached.and_then(|(address, party)| reach(&state, &opens, gateway, party, address).ok());
            reached.map_or_else(|| node.to_string(), |address| address.to_string())
        })
    }

    pub fn set_fault(
        &self, kind: FaultKind, from: &BTreeSet<LinkEnd>, to: &BTreeSet<LinkEnd>, size: f64, begins: bool,
    ) {
        let on = On { kind, from: from.clone(), to: to.clone(), size };
        let mut state = self.state();
        if begins {
            state.on.push(on);
        } else if let Some(at) =
            state.on.iter().position(|known| known.kind == kind && known.from == on.from && known.to == on.to)
        {
            state.on.remove(at);
        }
    }

    /// How often each kind of fault struck.
    pub fn injected_faults(&self) -> BTreeMap<String, u64> {
        self.state().struck.clone()
    }
}

fn reach(
    state: &Shared, opens: &Sender<(TcpListener, LinkEnd, LinkEnd, SocketAddr)>, gateway: u32, to: LinkEnd,
    address: SocketAddr,
) -> io::Result<SocketAddr> {
    let mut state = state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    if let Some(known) = state.reached.get(&(gateway, address)) {
        return Ok(*known);
    }
    let listener = crate::target::loopback_listener()?;
    let ours = listener.local_addr()?;
    let opened = opens.try_send((listener, LinkEnd::Gateway(gateway), to, address));
    opened.map_err(|_| io::Error::other("too many links open at once"))?;
    state.reached.insert((gateway, address), ours);
    Ok(ours)
}

/// Bytes that each process sent since its last line.
type Meters = Rc<std::cell::RefCell<BTreeMap<(u32, u32), (u64, u64, u64)>>>;

async fn report(meters: Meters, ears: Ears) {
    let mut last = ears.record.clock.now();
    loop {
        Timer::after(Duration::from_secs(1)).await;
        let t = ears.record.clock.now();
        for ((gateway, process), (datagrams, bytes, longest)) in std::mem::take(&mut *meters.borrow_mut()) {
            let seconds = t - last;
            ears.record.put(Line::MemberTraffic { t, gateway, process, seconds, datagrams, bytes, longest });
        }
        last = t;
    }
}

/// The relay of one member: what others send to it.
struct Relay {
    number: u32,
    socket: Rc<Async<UdpSocket>>,
    state: Shared,
    ears: Ears,
    chance: SmallRng,
    late: Rc<std::cell::Cell<usize>>,
    meters: Meters,
    told: SaidOf,
}

/// What each process said last of each member.
type SaidOf = Rc<std::cell::RefCell<HashMap<(u32, u32, u16), Status>>>;

impl Relay {
    async fn run(mut self, executor: Weak<LocalExecutor<'static>>) {
        let mut bytes = vec![0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut bytes).await else { continue };
            let Some(executor) = executor.upgrade() else { return };
            self.pass(&executor, bytes[..length].to_vec(), source);
        }
    }

    fn pass(&mut self, executor: &Rc<LocalExecutor<'static>>, mut bytes: Vec<u8>, source: SocketAddr) {
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let Some((from, process)) = state.sources.get(&source).copied() else { return };
        self.listen(from, process, &bytes);
        let fate = state.fate(LinkEnd::Gateway(from), LinkEnd::Gateway(self.number), &mut self.chance);
        let homes = state.homes.get(&self.number).cloned().unwrap_or_default();
        drop(state);
        if fate.lost {
            return;
        }
        if fate.garbled && !bytes.is_empty() {
            for _ in 0..self.chance.random_range(1..4) {
                let at = self.chance.random_range(0..bytes.len());
                bytes[at] ^= self.chance.random_range(1..=255u8);
            }
        }
        for home in homes.into_iter().filter(|home| *home != source) {
            for _ in 0..fate.copies {
                if fate.late <= 0.0 || self.late.get() >= MOST_LATE {
                    let _ = self.socket.get_ref().send_to(&bytes, home);
                    continue;
                }
                let (socket, bytes, waiting) = (self.socket.clone(), bytes.clone(), self.late.clone());
                waiting.set(waiting.get() + 1);
                let later = async move {
                    Timer::after(Duration::from_secs_f64(fate.late)).await;
                    let _ = socket.get_ref().send_to(&bytes, home);
                    waiting.set(waiting.get() - 1);
                };
                executor.spawn(later).detach();
            }
        }
    }

    /// Writes down what this datagram tells.
    fn listen(&self, gateway: u32, process: u32, bytes: &[u8]) {
        let (t, length) = (self.ears.record.clock.now(), bytes.len() as u64);
        let mut meters = self.meters.borrow_mut();
        let (datagrams, sum, longest) = meters.entry((gateway, process)).or_default();
        (*datagrams, *sum, *longest) = (*datagrams + 1, *sum + length, length.max(*longest));
        drop(meters);
        let Ok(message) = Message::decode(self.ears.fleet, bytes) else { return };
        // A page is what its sender holds; of other news only what is new from it.
        let mut told = self.told.borrow_mut();
        let said = message.updates.iter().filter(|news| {
            let before = told.insert((gateway, process, news.member.0), news.status);
            message.kind == MessageKind::StatePage || before != Some(news.status)
        });
        let said: Vec<_> = said.collect();
        if said.is_empty() {
            return;
        }
        // What left in order is neither.
        let those = |held: &[Status]| {
            let news = said.iter().filter(|news| held.contains(&news.status));
            news.map(|news| u32::from(news.member.0)).collect()
        };
        let (live, dead) = (those(&[Status::Alive, Status::Suspect]), those(&[Status::Dead]));
        let incarnation = message.incarnation;
        self.ears.record.put(Line::MemberView { t, gateway, process, incarnation, live, dead });
    }
}

/// Opens the relays of connections as they are wanted.
async fn open(
    opened: Receiver<(TcpListener, LinkEnd, LinkEnd, SocketAddr)>, state: Shared,
    executor: Weak<LocalExecutor<'static>>,
) {
    while let Ok((listener, from, to, address)) = opened.recv().await {
        let (Some(executor), Ok(listener)) = (executor.upgrade(), Async::new(listener)) else { return };
        let (state, weak) = (state.clone(), Rc::downgrade(&executor));
        let serve = async move {
            loop {
                let Ok((near, _)) = listener.accept().await else {
                    Timer::after(Duration::from_millis(20)).await;
                    continue;
                };
                let Some(executor) = weak.upgrade() else { return };
                executor.spawn(join(near, from, to, address, state.clone(), weak.clone())).detach();
            }
        };
        executor.spawn(serve).detach();
    }
}

/// What a link does to connections now.
enum Stands {
    Open {
        late: f64,
        drip: f64,
    },
    /// Nothing passes, nothing is closed.
    Held,
    Cut,
}

fn stands(state: &Shared, from: LinkEnd, to: LinkEnd) -> Stands {
    let mut state = state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (mut late, mut drip, mut worst) = (0.0, f64::INFINITY, None);
    for on in state.touching(from, to) {
        match on.kind {
            FaultKind::Cut => worst = Some(FaultKind::Cut),
            FaultKind::Hole | FaultKind::OneWay => worst = worst.or(Some(on.kind)),
            FaultKind::Delay => late += on.size,
            FaultKind::Drip => drip = on.size.min(drip),
            _ => {}
        }
    }
    match worst {
        Some(kind) => {
            state.strike(kind);
            if kind == FaultKind::Cut {
                Stands::Cut
            } else {
                Stands::Held
            }
        }
        None => {
            if late > 0.0 {
                state.strike(FaultKind::Delay);
            }
            if drip.is_finite() {
                state.strike(FaultKind::Drip);
            }
            Stands::Open { late, drip }
        }
    }
}

/// Joins a connection with one to where it wants to go.
async fn join(
    near: Async<TcpStream>, from: LinkEnd, to: LinkEnd, address: SocketAddr, state: Shared,
    executor: Weak<LocalExecutor<'static>>,
) {
    if matches!(stands(&state, from, to), Stands::Cut) {
        return;
    }
    let Ok(far) = Async::<TcpStream>::connect(address).await else { return };
    for stream in [&near, &far] {
        let _ = stream.get_ref().set_nodelay(true);
    }
    let (near, far) = (Rc::new(near), Rc::new(far));
    let Some(executor) = executor.upgrade() else { return };
    for (input, output, from, to) in [(near.clone(), far.clone(), from, to), (far, near, to, from)] {
        let (pieces, taken) = bounded(MOST_PIECES);
        let (state, other) = (state.clone(), state.clone());
        executor.spawn(take(input.clone(), pieces, from, to, state)).detach();
        executor.spawn(give(input, output, taken, from, to, other)).detach();
    }
}

async fn look<R>(done: impl Future<Output = R>) -> Option<R> {
    let late = async {
        Timer::after(Duration::from_secs_f64(LOOK)).await;
        None
    };
    async { Some(done.await) }.or(late).await
}

fn close(one: &Async<TcpStream>) {
    let _ = one.get_ref().shutdown(std::net::Shutdown::Both);
}

/// Reads one direction; nothing is read while the link holds, so that the kernels fill up as on a real one.
async fn take(
    input: Rc<Async<TcpStream>>, pieces: Sender<(f64, Vec<u8>)>, from: LinkEnd, to: LinkEnd, state: Shared,
) {
    let clock = quaypath_record::Clock::default();
    let mut bytes = vec![0; PIECE];
    loop {
        let late = match stands(&state, from, to) {
            Stands::Open { late, .. } => late,
            Stands::Held => {
                Timer::after(Duration::from_secs_f64(LOOK)).await;
                continue;
            }
            Stands::Cut => {
                // A reset, not an end: what is under way is lost.
                let _ = socket2::SockRef::from(input.get_ref()).set_linger(Some(Duration::ZERO));
                return close(&input);
            }
        };
        let mut reader = &*input;
        let read = match look(reader.read(&mut bytes)).await {
            None => continue,
            Some(Ok(0) | Err(_)) => return,
            Some(Ok(length)) => bytes[..length].to_vec(),
        };
        if pieces.send((clock.now() + late, read)).await.is_err() {
            return;
        }
    }
}

/// Writes one direction, each piece when its delay is over.
async fn give(
    input: Rc<Async<TcpStream>>, output: Rc<Async<TcpStream>>, taken: Receiver<(f64, Vec<u8>)>,
    from: LinkEnd, to: LinkEnd, state: Shared,
) {
    let clock = quaypath_record::Clock::default();
    let mut writer = &*output;
    while let Ok((due, bytes)) = taken.recv().await {
        Timer::after(Duration::from_secs_f64((due - clock.now()).max(0.0))).await;
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let drip = match stands(&state, from, to) {
                Stands::Open { drip, .. } => drip,
                Stands::Held => {
                    Timer::after(Duration::from_secs_f64(LOOK)).await;
                    continue;
                }
                Stands::Cut => break,
            };
            let length = if drip.is_finite() { ((drip * LOOK) as usize).max(1) } else { PIECE };
            let (now, later) = rest.split_at(length.min(rest.len()));
            if writer.write_all(now).await.is_err() {
                return close(&input);
            }
            rest = later;
            if drip.is_finite() {
                Timer::after(Duration::from_secs_f64(now.len() as f64 / drip)).await;
            }
        }
    }
    // Its own side has ended: so does the other.
    close(&output);
}
