//! The script of a run, drawn from its seed: settings, processes, nodes, clients, and which trouble comes when.

use nanorand::{Rng, WyRand};

/// How long troubles come, seconds; what they began is waited for.
pub const LASTS: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct Settings {
    /// Of look-ups and of buys, seconds.
    pub deadlines: [f64; 2],
    pub may_cancel: bool,
    pub memory_mb: usize,
    pub sockets: usize,
    pub drain_grace: f64,
    /// Seconds within which a buy may be repeated, where that is allowed at all.
    pub window: f64,
    pub limit: Option<Limit>,
}

/// What a volume may use, units and seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub rate: f64,
    pub burst: f64,
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    Settles,
    Hangs,
    Resets,
    Pieces,
    AnswersTwice,
    Fails,
    TurnsAway,
    Endless,
}

/// Where SIGHUP moves discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Address {
    Dead,
    Flooding,
    First,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// SIGTERM, once or twice, and SIGKILL at the earliest; SIGHUP behind it.
    Restart {
        process: usize,
        twice: bool,
        reload: bool,
    },
    /// SIGKILL without a word.
    Crash {
        process: usize,
    },
    Reload {
        process: usize,
        to: Vec<Address>,
    },
    Pause {
        process: usize,
        lasts: f64,
    },
    Drain {
        node: usize,
    },
    Replace {
        node: usize,
    },
    Moody {
        node: usize,
        mood: Mood,
        lasts: f64,
    },
    DiscoveryDown {
        lasts: f64,
    },
    /// Idle clients, more than there is room for, while discovery is down.
    Crowd {
        process: usize,
        clients: usize,
    },
    /// Many clients with a body all but its last byte.
    Bodies {
        process: usize,
        clients: usize,
    },
    /// Blank lines without end.
    Flood {
        process: usize,
        lasts: f64,
    },
}

impl Trouble {
    /// What it is called where a run tells what struck.
    pub fn name(&self) -> &'static str {
        match self {
            Trouble::Restart { .. } => "restarts",
            Trouble::Crash { .. } => "crashes",
            Trouble::Reload { .. } => "SIGHUP in series",
            Trouble::Pause { lasts, .. } if *lasts > 0.5 => "stops of seconds",
            Trouble::Pause { .. } => "stops of 0.15 s",
            Trouble::Drain { .. } => "drains",
            Trouble::Replace { .. } => "replaced nodes",
            Trouble::Moody { mood, .. } => match mood {
                Mood::Settles => "usual nodes",
                Mood::Hangs => "nodes that hang",
                Mood::Resets => "nodes that reset",
                Mood::Pieces => "answers by pieces",
                Mood::AnswersTwice => "nodes that answer twice",
                Mood::Fails => "nodes that fail",
                Mood::TurnsAway => "nodes that turn away",
                Mood::Endless => "answers without end",
            },
            Trouble::DiscoveryDown { .. } => "discovery down",
            Trouble::Crowd { .. } => "idle crowds",
            Trouble::Bodies { .. } => "crowds with bodies",
            Trouble::Flood { .. } => "floods of blank lines",
        }
    }
}

/// What strikes in some run of a long series.
pub const KINDS: [&str; 24] = [
    "restarts",
    "crashes",
    "SIGHUP in series",
    "SIGHUP behind SIGTERM",
    "SIGTERM twice",
    "stops of 0.15 s",
    "stops of seconds",
    "drains",
    "replaced nodes",
    "nodes that hang",
    "nodes that reset",
    "answers by pieces",
    "nodes that answer twice",
    "nodes that fail",
    "nodes that turn away",
    "answers without end",
    "discovery down",
    "idle crowds",
    "crowds with bodies",
    "floods of blank lines",
    "requests on a closing connection",
    "half a request while it ends",
    "rested until the process closed",
    "requests by single bytes",
];

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// One request behind the other; each has to get its final answer in time.
    Usual,
    BackToBack,
    Pipelined,
    /// Rests on its connection until the process ends it, with half a request in some of these moments.
    Resting,
    SingleBytes,
    Leaves,
}

/// Those that rest meet most of what crosses a close, so they are drawn more often.
pub const MANNERS: [Manner; 8] = [
    Manner::Usual,
    Manner::BackToBack,
    Manner::Pipelined,
    Manner::Resting,
    Manner::Resting,
    Manner::Resting,
    Manner::SingleBytes,
    Manner::Leaves,
];

#[derive(Clone, Debug)]
pub struct Script {
    pub seed: u64,
    pub settings: Settings,
    pub processes: usize,
    pub nodes: usize,
    /// What a node takes for an answer, seconds.
    pub service: f64,
    pub clients: Vec<(usize, Manner)>,
    /// By time.
    pub troubles: Vec<(f64, Trouble)>,
}

struct Draw(WyRand);

impl Draw {
    fn below(&mut self, most: usize) -> usize {
        self.0.generate_range(0..most)
    }

    fn of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }

    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.0.generate::<f64>()
    }

    fn chance(&mut self, part: f64) -> bool {
        self.0.generate::<f64>() < part
    }

    fn settings(&mut self) -> Settings {
        let rate = self.of(&[40.0, 120.0]);
        Settings {
            deadlines: [self.of(&[0.15, 0.5, 1.2]), self.of(&[0.5, 2.5, 5.0])],
            may_cancel: self.chance(0.5),
            memory_mb: self.of(&[32, 48, 192]),
            sockets: self.of(&[256, 1024]),
            drain_grace: self.of(&[0.5, 2.0]),
            window: self.of(&[0.0, 5.0]),
            limit: self.chance(0.4).then_some(Limit { rate, burst: rate / 2.0, slack: 4.0 }),
        }
    }

    /// A restart always, others of which half come within its notice and at its process, and some at any time.
    fn troubles(&mut self, script: &Script) -> Vec<(f64, Trouble)> {
        let (process, at) = (self.below(script.processes), self.between(1.2, 2.2));
        let mut troubles = vec![(at, self.restart(process))];
        for _ in 0..3 + self.below(3) {
            let within = self.between(-0.3, script.notice().min(LASTS - at));
            troubles.push((at + within, self.trouble_at(process, script.nodes)));
        }
        for _ in 0..1 + self.below(4) {
            let process = self.below(script.processes);
            troubles.push((self.between(1.2, LASTS), self.trouble(process, script.nodes)));
        }
        troubles.sort_by(|one, other| one.0.total_cmp(&other.0));
        troubles
    }

    /// What can come while the process ends.
    fn trouble_at(&mut self, process: usize, nodes: usize) -> Trouble {
        let node = self.below(nodes);
        match self.below(7) {
            0 | 1 => Trouble::Pause { process, lasts: 0.15 },
            2 => Trouble::Drain { node },
            3 => Trouble::Replace { node },
            4 => self.crowd(process),
            _ => self.mood(node),
        }
    }

    fn trouble(&mut self, process: usize, nodes: usize) -> Trouble {
        let node = self.below(nodes);
        match self.below(11) {
            0 | 1 => self.restart(process),
            2 => Trouble::Crash { process },
            3 => {
                let count = 2 + self.below(2);
                let mut to: Vec<Address> = (0..count)
                    .map(|_| self.of(&[Address::Dead, Address::Flooding, Address::First]))
                    .collect();
                to.push(Address::First);
                Trouble::Reload { process, to }
            }
            4 => Trouble::Pause { process, lasts: self.of(&[0.15, 0.15, 1.5]) },
            5 => Trouble::Drain { node },
            6 => Trouble::Replace { node },
            7 => Trouble::DiscoveryDown { lasts: self.between(0.5, 2.0) },
            8 => self.crowd(process),
            _ => self.mood(node),
        }
    }

    fn restart(&mut self, process: usize) -> Trouble {
        Trouble::Restart { process, twice: self.chance(0.3), reload: self.chance(0.3) }
    }

    fn mood(&mut self, node: usize) -> Trouble {
        let moods = [
            Mood::Hangs,
            Mood::Resets,
            Mood::Pieces,
            Mood::AnswersTwice,
            Mood::Fails,
            Mood::TurnsAway,
            Mood::Endless,
        ];
        Trouble::Moody { node, mood: self.of(&moods), lasts: self.between(0.3, 2.0) }
    }

    fn crowd(&mut self, process: usize) -> Trouble {
        match self.below(3) {
            0 => Trouble::Crowd { process, clients: 300 },
            1 => Trouble::Bodies { process, clients: 400 },
            _ => Trouble::Flood { process, lasts: self.between(0.5, 1.5) },
        }
    }
}

impl Script {
    /// The same seed, the same script.
    pub fn draw(seed: u64) -> Self {
        let mut draw = Draw(WyRand::new_seed(seed));
        let settings = draw.settings();
        let (processes, nodes) = (1 + draw.below(8).min(3 + draw.below(6)), 2 + draw.below(2));
        let mut clients = Vec::new();
        for process in 0..processes {
            clients.extend([(process, Manner::Usual), (process, Manner::Usual)]);
            let more = if processes > 3 { 2 } else { 5 };
            clients.extend((0..more).map(|_| (process, draw.of(&MANNERS))));
        }
        let service = draw.of(&[0.002, 0.02, 0.06]);
        let mut script = Script { seed, settings, processes, nodes, service, clients, troubles: Vec::new() };
        script.troubles = draw.troubles(&script);
        script
    }

    /// The earliest moment of SIGKILL behind SIGTERM, seconds: the longest deadline, counted as 3 s where it is longer, and
    /// 0.7 s (the platform's page).
    pub fn notice(&self) -> f64 {
        self.settings.deadlines.iter().fold(0.0f64, |most, one| most.max(*one)).min(3.0) + 0.7
    }
}
