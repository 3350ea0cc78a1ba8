//! The path to one node, without I/O: when an association is made, given up, made again, and when it may not carry
//! anything new. Which node a shot goes to, and when a silent node is tried again, is the core's; this only keeps a
//! connection there for it.
//!
//! After a loss the path is made again by itself, a few times, at growing and jittered waits: a hundred gateways must
//! not all knock at the moment a node comes back. After the loss time it is left alone until the core wants it.

/// First and longest wait between attempts of its own, seconds.
const FIRST_WAIT: f64 = 0.05;
const LONGEST_WAIT: f64 = 2.0;
/// How long attempts of its own go on after a loss (the controller loss time), seconds.
pub const LOSS_TIME: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// No association, and none is missed.
    Closed,
    Opening,
    Up,
    /// Lost or refused; made again at this time unless the core wants it before.
    Waiting {
        until: f64,
    },
    /// Lost for longer than the loss time: only the core's wish makes it again.
    Lost,
    /// The node drains or is gone: what is there finishes, nothing is made again by itself.
    Fenced,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The core sends a shot here.
    Wanted,
    Opened,
    Failed,
    /// The association ended by itself.
    Broke,
    /// It was closed for want of use.
    Idle,
    /// Time goes on.
    Tick,
    /// The list says that the node drains or is gone.
    Shut,
    /// The list says that it is ready.
    Ready,
    /// The list says that it started anew under the same address.
    Restarted,
}

/// What the driver is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Nothing,
    /// Make an association.
    Open,
    /// What there is belongs to a process of before: it finishes what it has and takes nothing new.
    Retire,
}

#[derive(Debug)]
pub struct Path {
    state: State,
    /// Attempts since the association was up last, and since when it is not.
    attempts: u32,
    down_since: f64,
}

impl Default for Path {
    fn default() -> Self {
        Path { state: State::Closed, attempts: 0, down_since: f64::NEG_INFINITY }
    }
}

impl Path {
    pub fn state(&self) -> State {
        self.state
    }

    fn shift(&mut self, to: State) {
        self.state = to;
    }

    /// Takes an event at `now`; `chance` is drawn evenly from 0 to 1.
    pub fn on(&mut self, now: f64, event: Event, chance: f64) -> Act {
        use State::*;
        match (self.state, event) {
            (Closed | Lost | Fenced | Waiting { .. }, Event::Wanted) => self.open(),
            (Waiting { until }, Event::Tick) if now >= until => self.open(),
            (Opening, Event::Opened) => {
                self.attempts = 0;
                self.shift(Up);
                Act::Nothing
            }
            (Opening, Event::Failed) => {
                if self.down_since == f64::NEG_INFINITY {
                    self.down_since = now;
                }
                self.wait(now, chance)
            }
            (Up, Event::Broke) => {
                (self.attempts, self.down_since) = (0, now);
                self.wait(now, chance)
            }
            (Up | Waiting { .. }, Event::Idle) => {
                self.down_since = f64::NEG_INFINITY;
                self.shift(Closed);
                Act::Nothing
            }
            // What is up goes on, and is not missed when it ends.
            (Up | Closed | Lost | Waiting { .. }, Event::Shut) => {
                self.shift(Fenced);
                Act::Nothing
            }
            (Fenced, Event::Opened | Event::Failed | Event::Broke | Event::Idle) => Act::Nothing,
            (Fenced, Event::Ready) => {
                self.down_since = f64::NEG_INFINITY;
                self.shift(Closed);
                Act::Nothing
            }
            (Up, Event::Restarted) => {
                self.shift(Closed);
                Act::Retire
            }
            (Waiting { .. } | Lost, Event::Restarted) => {
                // It is another process now, so its loss is over.
                (self.attempts, self.down_since) = (0, now);
                self.wait(now, chance)
            }
            _ => Act::Nothing,
        }
    }

    fn open(&mut self) -> Act {
        self.attempts += 1;
        self.shift(State::Opening);
        Act::Open
    }

    fn wait(&mut self, now: f64, chance: f64) -> Act {
        if now - self.down_since >= LOSS_TIME {
            self.shift(State::Lost);
        } else {
            let longest = FIRST_WAIT * f64::from(1u32 << self.attempts.min(6));
            self.shift(State::Waiting { until: now + longest.min(LONGEST_WAIT) * (0.5 + chance) });
        }
        Act::Nothing
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;
    use Event::*;

    /// Feeds events at whole seconds and gives the last act and state.
    fn after(events: &[(f64, Event)]) -> (Act, State) {
        let mut path = Path::default();
        let mut act = Act::Nothing;
        for (at, event) in events {
            act = path.on(*at, *event, 0.5);
        }
        (act, path.state())
    }

    #[test_case(&[(0.0, Wanted)], Act::Open, State::Opening; "opened on need")]
    #[test_case(&[(0.0, Wanted), (0.1, Wanted)], Act::Nothing, State::Opening; "one attempt at a time")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Idle)], Act::Nothing, State::Closed; "closed when idle")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Idle), (99.0, Tick)], Act::Nothing, State::Closed; "idle is not missed")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke)], Act::Nothing, State::Waiting { until: 9.05 }; "a loss waits a little")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke), (9.04, Tick)], Act::Nothing, State::Waiting { until: 9.05 }; "not before its time")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke), (9.06, Tick)], Act::Open, State::Opening; "made again by itself")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke), (9.01, Wanted)], Act::Open, State::Opening; "the core's wish goes first")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke), (9.1, Tick), (9.2, Failed)], Act::Nothing, State::Waiting { until: 9.3 }; "waits grow")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke), (18.0, Tick), (19.0, Failed)], Act::Nothing, State::Lost; "lost after the loss time")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke), (18.0, Tick), (19.0, Failed), (30.0, Tick)], Act::Nothing, State::Lost; "and left alone")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke), (18.0, Tick), (19.0, Failed), (30.0, Wanted)], Act::Open, State::Opening; "until the core wants it")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (9.0, Broke), (18.0, Tick), (19.0, Failed), (30.0, Restarted)], Act::Nothing, State::Waiting { until: 30.05 }; "or it started anew")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (5.0, Shut)], Act::Nothing, State::Fenced; "fenced by a drain")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (5.0, Shut), (6.0, Broke), (9.0, Tick)], Act::Nothing, State::Fenced; "a fenced path is not made again")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (5.0, Shut), (6.0, Broke), (9.0, Ready), (9.1, Wanted)], Act::Open, State::Opening; "ready again")]
    #[test_case(&[(0.0, Wanted), (0.1, Opened), (5.0, Restarted)], Act::Retire, State::Closed; "another process under the same address")]
    #[test_case(&[(0.0, Wanted), (0.2, Failed)], Act::Nothing, State::Waiting { until: 0.3 }; "never up")]
    fn transitions(events: &[(f64, Event)], act: Act, state: State) {
        let (done, at) = after(events);
        let near = match (at, state) {
            (State::Waiting { until }, State::Waiting { until: expected }) => (until - expected).abs() < 1e-9,
            _ => at == state,
        };
        assert!(done == act && near, "{done:?} {at:?}");
    }

    /// However the waits are drawn, attempts of its own are few: a node that is gone is not knocked at for ever.
    #[test]
    fn attempts_of_its_own_are_bounded() {
        for seed in 0..20 {
            let (mut path, mut opens) = (Path::default(), 0);
            path.on(0.0, Wanted, 0.0);
            path.on(0.0, Opened, 0.0);
            path.on(0.0, Broke, f64::from(seed) / 20.0);
            for tick in 0..4000 {
                let now = f64::from(tick) * 0.01;
                if path.on(now, Tick, f64::from(seed) / 20.0) == Act::Open {
                    opens += 1;
                    path.on(now, Failed, f64::from(seed) / 20.0);
                }
            }
            assert!((5..30).contains(&opens) && path.state() == State::Lost, "{opens}");
        }
    }
}
