//! The scenario of a run, generated from its seed: settings, processes, nodes, clients, and the faults with their times.

use nanorand::{Rng, WyRand};

/// Faults begin within this time, seconds; the run waits for those still active at its end.
pub const FAULT_PERIOD_S: f64 = 4.0;

/// Settings of the gateway processes.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Deadlines of lookups and of buys, seconds.
    pub deadlines: [f64; 2],
    pub may_cancel: bool,
    pub memory_mb: usize,
    /// Maximum of open descriptors.
    pub sockets: usize,
    /// Seconds.
    pub drain_grace: f64,
    /// Deduplication window, seconds: a buy may be repeated within it if repeats are allowed at all.
    pub window: f64,
    pub limit: Option<Limit>,
}

/// Limit of a volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Units by which use may exceed the limit.
    pub slack: f64,
}

/// How a node answers attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeBehavior {
    /// Answers 200 after its service time.
    Answers,
    /// Does not answer until its behavior changes.
    Hangs,
    /// Resets the connection.
    Resets,
    /// Answers 200 in small pieces.
    AnswersInPieces,
    /// Sends a second answer some milliseconds after the first.
    AnswersTwice,
    /// Answers 500.
    AnswersError,
    /// Answers 503 without running the attempt.
    Refuses,
    /// Sends an answer that does not end.
    EndlessAnswer,
}

/// Address of discovery that a reload sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryAddress {
    /// Nothing listens there.
    Unreachable,
    /// An agent that sends endless blank bytes.
    Flooding,
    /// The address from the start of the run.
    Original,
}

/// A fault that the run injects. Durations are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGTERM once or twice, optionally SIGHUP after it, and SIGKILL at the earliest moment allowed.
    Restart { process: usize, sigterm_twice: bool, reload: bool },
    /// SIGKILL without SIGTERM.
    Crash { process: usize },
    /// A series of SIGHUP, each with another address of discovery.
    Reload { process: usize, addresses: Vec<DiscoveryAddress> },
    /// SIGSTOP, and SIGCONT after this time.
    Pause { process: usize, duration: f64 },
    /// Discovery lists the node as draining.
    Drain { node: usize },
    /// Discovery lists another node under the same address.
    Replace { node: usize },
    /// The node behaves in this way for this time.
    NodeMisbehaves { node: usize, behavior: NodeBehavior, duration: f64 },
    /// Discovery is unavailable for this time.
    DiscoveryDown { duration: f64 },
    /// Many idle clients, more than the smaller of the descriptor limits allows, while discovery is down.
    IdleClients { process: usize, clients: usize },
    /// Many clients that each send a request without the last byte of its body.
    IncompleteBodies { process: usize, clients: usize },
    /// One client that sends blank lines for this time.
    BlankLines { process: usize, duration: f64 },
}

impl Fault {
    /// Name of this kind of fault in the output of a run.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Restart { .. } => "restarts",
            Fault::Crash { .. } => "crashes",
            Fault::Reload { .. } => "SIGHUP in series",
            Fault::Pause { duration, .. } if *duration > 0.5 => "pauses of seconds",
            Fault::Pause { .. } => "pauses of 0.15 s",
            Fault::Drain { .. } => "drains",
            Fault::Replace { .. } => "replaced nodes",
            Fault::NodeMisbehaves { behavior, .. } => match behavior {
                NodeBehavior::Answers => "nodes that answer",
                NodeBehavior::Hangs => "nodes that hang",
                NodeBehavior::Resets => "nodes that reset",
                NodeBehavior::AnswersInPieces => "answers in pieces",
                NodeBehavior::AnswersTwice => "nodes that answer twice",
                NodeBehavior::AnswersError => "nodes that fail",
                NodeBehavior::Refuses => "nodes that refuse",
                NodeBehavior::EndlessAnswer => "endless answers",
            },
            Fault::DiscoveryDown { .. } => "discovery down",
            Fault::IdleClients { .. } => "floods of idle clients",
            Fault::IncompleteBodies { .. } => "floods of incomplete bodies",
            Fault::BlankLines { .. } => "floods of blank lines",
        }
    }
}

/// Kinds of faults and client behaviors that must each occur in some run of a long series of seeds.
pub const FAULT_KINDS: [&str; 24] = [
    "restarts",
    "crashes",
    "SIGHUP in series",
    "SIGHUP after SIGTERM",
    "SIGTERM twice",
    "pauses of 0.15 s",
    "pauses of seconds",
    "drains",
    "replaced nodes",
    "nodes that hang",
    "nodes that reset",
    "answers in pieces",
    "nodes that answer twice",
    "nodes that fail",
    "nodes that refuse",
    "endless answers",
    "discovery down",
    "floods of idle clients",
    "floods of incomplete bodies",
    "floods of blank lines",
    "requests on a closing connection",
    "half a request during shutdown",
    "idle until the process closed",
    "requests sent byte by byte",
];

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// One request after the other, with pauses.
    Paced,
    /// One request after the other, without pauses.
    BackToBack,
    /// Several requests sent at once.
    Pipelined,
    /// Stays idle on its connection until the process closes it; while the process terminates, may send half a request or a
    /// whole one.
    Idle,
    /// Sends each request byte by byte.
    SingleBytes,
    /// Disconnects shortly after sending its request.
    Disconnects,
}

/// Behaviors to choose from. Idle clients are listed three times, because they meet most cases in which a request crosses the
/// close of its connection.
pub const CLIENT_BEHAVIORS: [ClientBehavior; 8] = [
    ClientBehavior::Paced,
    ClientBehavior::BackToBack,
    ClientBehavior::Pipelined,
    ClientBehavior::Idle,
    ClientBehavior::Idle,
    ClientBehavior::Idle,
    ClientBehavior::SingleBytes,
    ClientBehavior::Disconnects,
];

/// Everything that the seed determines.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub settings: Settings,
    pub processes: usize,
    pub nodes: usize,
    /// Time until a node answers, seconds.
    pub service_time: f64,
    /// The process that each client connects to, and its behavior.
    pub clients: Vec<(usize, ClientBehavior)>,
    /// Faults with the times at which they begin, in seconds after the start of the clients, sorted by time.
    pub faults: Vec<(f64, Fault)>,
}

/// Random choices for a scenario; the order of the calls determines the scenario of a seed.
struct Generator(WyRand);

impl Generator {
    fn below(&mut self, bound: usize) -> usize {
        self.0.generate_range(0..bound)
    }

    fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }

    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.0.generate::<f64>()
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.0.generate::<f64>() < probability
    }

    fn settings(&mut self) -> Settings {
        let rate = self.choose(&[40.0, 120.0]);
        Settings {
            deadlines: [self.choose(&[0.15, 0.5, 1.2]), self.choose(&[0.5, 2.5, 5.0])],
            may_cancel: self.chance(0.5),
            memory_mb: self.choose(&[32, 48, 192]),
            sockets: self.choose(&[256, 1024]),
            drain_grace: self.choose(&[0.5, 2.0]),
            window: self.choose(&[0.0, 5.0]),
            limit: self.chance(0.4).then_some(Limit { rate, burst: rate / 2.0, slack: 4.0 }),
        }
    }

    /// One restart; some faults of the same process from shortly before its SIGTERM until its SIGKILL; and some faults at any time.
    fn faults(&mut self, scenario: &Scenario) -> Vec<(f64, Fault)> {
        let (process, restart_at) = (self.below(scenario.processes), self.between(1.2, 2.2));
        let mut faults = vec![(restart_at, self.restart(process))];
        for _ in 0..3 + self.below(3) {
            let offset = self.between(-0.3, scenario.sigkill_delay().min(FAULT_PERIOD_S - restart_at));
            faults.push((restart_at + offset, self.fault_during_restart(process, scenario.nodes)));
        }
        for _ in 0..1 + self.below(4) {
            let process = self.below(scenario.processes);
            faults.push((self.between(1.2, FAULT_PERIOD_S), self.fault(process, scenario.nodes)));
        }
        faults.sort_by(|left, right| left.0.total_cmp(&right.0));
        faults
    }

    /// A fault that may occur while the process terminates.
    fn fault_during_restart(&mut self, process: usize, nodes: usize) -> Fault {
        let node = self.below(nodes);
        match self.below(7) {
            0 | 1 => Fault::Pause { process, duration: 0.15 },
            2 => Fault::Drain { node },
            3 => Fault::Replace { node },
            4 => self.client_fault(process),
            _ => self.node_fault(node),
        }
    }

    /// A fault that may occur at any time.
    fn fault(&mut self, process: usize, nodes: usize) -> Fault {
        let node = self.below(nodes);
        match self.below(11) {
            0 | 1 => self.restart(process),
            2 => Fault::Crash { process },
            3 => {
                let count = 2 + self.below(2);
                let mut addresses: Vec<DiscoveryAddress> = (0..count)
                    .map(|_| {
                        self.choose(&[
                            DiscoveryAddress::Unreachable,
                            DiscoveryAddress::Flooding,
                            DiscoveryAddress::Original,
                        ])
                    })
                    .collect();
                addresses.push(DiscoveryAddress::Original);
                Fault::Reload { process, addresses }
            }
            4 => Fault::Pause { process, duration: self.choose(&[0.15, 0.15, 1.5]) },
            5 => Fault::Drain { node },
            6 => Fault::Replace { node },
            7 => Fault::DiscoveryDown { duration: self.between(0.5, 2.0) },
            8 => self.client_fault(process),
            _ => self.node_fault(node),
        }
    }

    fn restart(&mut self, process: usize) -> Fault {
        Fault::Restart { process, sigterm_twice: self.chance(0.3), reload: self.chance(0.3) }
    }

    fn node_fault(&mut self, node: usize) -> Fault {
        let behaviors = [
            NodeBehavior::Hangs,
            NodeBehavior::Resets,
            NodeBehavior::AnswersInPieces,
            NodeBehavior::AnswersTwice,
            NodeBehavior::AnswersError,
            NodeBehavior::Refuses,
            NodeBehavior::EndlessAnswer,
        ];
        Fault::NodeMisbehaves { node, behavior: self.choose(&behaviors), duration: self.between(0.3, 2.0) }
    }

    /// Clients that try to exhaust the resources of a process.
    fn client_fault(&mut self, process: usize) -> Fault {
        match self.below(3) {
            0 => Fault::IdleClients { process, clients: 300 },
            1 => Fault::IncompleteBodies { process, clients: 400 },
            _ => Fault::BlankLines { process, duration: self.between(0.5, 1.5) },
        }
    }
}

impl Scenario {
    /// Generates the scenario of a seed; the same seed always gives the same scenario.
    pub fn generate(seed: u64) -> Self {
        let mut generator = Generator(WyRand::new_seed(seed));
        let settings = generator.settings();
        let (processes, nodes) = (1 + generator.below(8).min(3 + generator.below(6)), 2 + generator.below(2));
        let mut clients = Vec::new();
        for process in 0..processes {
            clients.extend([(process, ClientBehavior::Paced), (process, ClientBehavior::Paced)]);
            let extra_clients = if processes > 3 { 2 } else { 5 };
            clients.extend((0..extra_clients).map(|_| (process, generator.choose(&CLIENT_BEHAVIORS))));
        }
        let service_time = generator.choose(&[0.002, 0.02, 0.06]);
        let mut scenario =
            Scenario { seed, settings, processes, nodes, service_time, clients, faults: Vec::new() };
        scenario.faults = generator.faults(&scenario);
        scenario
    }

    /// Time from SIGTERM to the earliest SIGKILL, seconds: the longest deadline, at most 3 s, plus 0.7 s (the platform's
    /// specification).
    pub fn sigkill_delay(&self) -> f64 {
        self.settings.deadlines.iter().fold(0.0f64, |longest, deadline| longest.max(*deadline)).min(3.0) + 0.7
    }
}
