//! The state of the association with one node, without I/O: when it is opened, when it is given up, when it is opened
//! again, and when it takes no new shots. The core decides which node a shot goes to and when an unresponsive node is
//! tried again; this state machine only provides the connection.
//!
//! After a connection loss, a few reconnect attempts are made automatically, with growing and jittered delays, because
//! a hundred gateways must not all connect at the moment when a node comes back. After the loss timeout, reconnecting
//! stops until the core sends a shot to the node.

/// Base of the delay between automatic reconnect attempts, doubled with each attempt, seconds.
const BASE_DELAY: f64 = 0.05;
/// Cap of the delay between automatic reconnect attempts before jitter, seconds.
const MAX_DELAY: f64 = 2.0;
/// Time after a loss in which automatic reconnect attempts are made (the controller loss timeout), seconds.
pub const LOSS_TIMEOUT: f64 = 10.0;

/// State of an association.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// No association exists and none is needed.
    Closed,
    Opening,
    Up,
    /// The association was lost or refused; it is opened again at this time, or earlier if the core sends a shot.
    BackingOff {
        until: f64,
    },
    /// The association has been down for longer than the loss timeout; it is opened again only for a shot.
    GivenUp,
    /// The node is draining or removed: live commands finish, and no automatic reconnect attempts are made.
    Fenced,
}

/// Event that changes the state of an association.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The core sends a shot to this node.
    ShotRequested,
    Opened,
    OpenFailed,
    /// The association ended without a request of this side.
    ConnectionLost,
    /// This side closed the association because it was idle.
    IdleClosed,
    /// Periodic check of the reconnect delay.
    Tick,
    /// The node list says that the node is draining or removed.
    NodeUnavailable,
    /// The node list says that the node is ready.
    NodeReady,
    /// The node list says that the node restarted under the same address.
    NodeRestarted,
}

/// What the caller has to do after an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Nothing,
    /// Open an association.
    Open,
    /// The existing association belongs to an earlier process: let it finish its commands and send it no new ones.
    Retire,
}

/// State machine of the association with one node.
#[derive(Debug)]
pub struct NodeAssociation {
    state: State,
    /// Attempts to open since the association was last up.
    attempts: u32,
    /// Clock time of the loss, seconds; negative infinity when there was none.
    down_since: f64,
}

impl Default for NodeAssociation {
    fn default() -> Self {
        NodeAssociation { state: State::Closed, attempts: 0, down_since: f64::NEG_INFINITY }
    }
}

impl NodeAssociation {
    pub fn state(&self) -> State {
        self.state
    }

    fn set_state(&mut self, next: State) {
        self.state = next;
    }

    /// Handles an event at the clock time `now`, seconds; `jitter` is drawn uniformly from 0 to 1.
    pub fn handle(&mut self, now: f64, event: Event, jitter: f64) -> Effect {
        use State::*;
        match (self.state, event) {
            (Closed | GivenUp | Fenced | BackingOff { .. }, Event::ShotRequested) => self.start_open(),
            (BackingOff { until }, Event::Tick) if now >= until => self.start_open(),
            (Opening, Event::Opened) => {
                self.attempts = 0;
                self.set_state(Up);
                Effect::Nothing
            }
            (Opening, Event::OpenFailed) => {
                if self.down_since == f64::NEG_INFINITY {
                    self.down_since = now;
                }
                self.back_off(now, jitter)
            }
            (Up, Event::ConnectionLost) => {
                (self.attempts, self.down_since) = (0, now);
                self.back_off(now, jitter)
            }
            (Up | BackingOff { .. }, Event::IdleClosed) => {
                self.down_since = f64::NEG_INFINITY;
                self.set_state(Closed);
                Effect::Nothing
            }
            // An association that is up keeps serving its live commands, and its end causes no reconnect attempts.
            (Up | Closed | GivenUp | BackingOff { .. }, Event::NodeUnavailable) => {
                self.set_state(Fenced);
                Effect::Nothing
            }
            (Fenced, Event::Opened | Event::OpenFailed | Event::ConnectionLost | Event::IdleClosed) => {
                Effect::Nothing
            }
            (Fenced, Event::NodeReady) => {
                self.down_since = f64::NEG_INFINITY;
                self.set_state(Closed);
                Effect::Nothing
            }
            (Up, Event::NodeRestarted) => {
                self.set_state(Closed);
                Effect::Retire
            }
            (BackingOff { .. } | GivenUp, Event::NodeRestarted) => {
                // The loss was of the earlier process, so the loss timeout starts again for the new one.
                (self.attempts, self.down_since) = (0, now);
                self.back_off(now, jitter)
            }
            _ => Effect::Nothing,
        }
    }

    fn start_open(&mut self) -> Effect {
        self.attempts += 1;
        self.set_state(State::Opening);
        Effect::Open
    }

    fn back_off(&mut self, now: f64, jitter: f64) -> Effect {
        if now - self.down_since >= LOSS_TIMEOUT {
            self.set_state(State::GivenUp);
        } else {
            let delay = BASE_DELAY * f64::from(1u32 << self.attempts.min(6));
            self.set_state(State::BackingOff { until: now + delay.min(MAX_DELAY) * (0.5 + jitter) });
        }
        Effect::Nothing
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;
    use Event::*;

    /// Handles events at the given times, seconds, and returns the last effect and state.
    fn last_effect_and_state(events: &[(f64, Event)]) -> (Effect, State) {
        let mut association = NodeAssociation::default();
        let mut effect = Effect::Nothing;
        for (time, event) in events {
            effect = association.handle(*time, *event, 0.5);
        }
        (effect, association.state())
    }

    #[test_case(&[(0.0, ShotRequested)], Effect::Open, State::Opening; "opened for a shot")]
    #[test_case(&[(0.0, ShotRequested), (0.1, ShotRequested)], Effect::Nothing, State::Opening; "one attempt at a time")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, IdleClosed)], Effect::Nothing, State::Closed; "closed when idle")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, IdleClosed), (99.0, Tick)], Effect::Nothing, State::Closed; "no reconnect after an idle close")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost)], Effect::Nothing, State::BackingOff { until: 9.05 }; "a loss delays the reconnect")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost), (9.04, Tick)], Effect::Nothing, State::BackingOff { until: 9.05 }; "no reconnect before the delay ends")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost), (9.06, Tick)], Effect::Open, State::Opening; "automatic reconnect")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost), (9.01, ShotRequested)], Effect::Open, State::Opening; "a shot reconnects before the delay ends")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost), (9.1, Tick), (9.2, OpenFailed)], Effect::Nothing, State::BackingOff { until: 9.3 }; "delays grow")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost), (18.0, Tick), (19.0, OpenFailed)], Effect::Nothing, State::GivenUp; "given up after the loss timeout")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost), (18.0, Tick), (19.0, OpenFailed), (30.0, Tick)], Effect::Nothing, State::GivenUp; "no automatic reconnect once given up")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost), (18.0, Tick), (19.0, OpenFailed), (30.0, ShotRequested)], Effect::Open, State::Opening; "a shot reconnects once given up")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (9.0, ConnectionLost), (18.0, Tick), (19.0, OpenFailed), (30.0, NodeRestarted)], Effect::Nothing, State::BackingOff { until: 30.05 }; "a node restart resumes reconnecting")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (5.0, NodeUnavailable)], Effect::Nothing, State::Fenced; "fenced when the node drains")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (5.0, NodeUnavailable), (6.0, ConnectionLost), (9.0, Tick)], Effect::Nothing, State::Fenced; "no automatic reconnect while fenced")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (5.0, NodeUnavailable), (6.0, ConnectionLost), (9.0, NodeReady), (9.1, ShotRequested)], Effect::Open, State::Opening; "a ready node is no longer fenced")]
    #[test_case(&[(0.0, ShotRequested), (0.1, Opened), (5.0, NodeRestarted)], Effect::Retire, State::Closed; "a restarted node gets a new association")]
    #[test_case(&[(0.0, ShotRequested), (0.2, OpenFailed)], Effect::Nothing, State::BackingOff { until: 0.3 }; "first attempt fails")]
    fn transitions(events: &[(f64, Event)], effect: Effect, state: State) {
        let (actual_effect, actual_state) = last_effect_and_state(events);
        let state_matches = match (actual_state, state) {
            (State::BackingOff { until }, State::BackingOff { until: expected }) => {
                (until - expected).abs() < 1e-9
            }
            _ => actual_state == state,
        };
        assert!(actual_effect == effect && state_matches, "{actual_effect:?} {actual_state:?}");
    }

    /// Guards against endless connection attempts to a node that stays down: automatic attempts are bounded for any
    /// jitter.
    #[test]
    fn automatic_attempts_are_bounded() {
        for seed in 0..20 {
            let (mut association, mut open_count) = (NodeAssociation::default(), 0);
            association.handle(0.0, ShotRequested, 0.0);
            association.handle(0.0, Opened, 0.0);
            association.handle(0.0, ConnectionLost, f64::from(seed) / 20.0);
            for tick in 0..4000 {
                let now = f64::from(tick) * 0.01;
                if association.handle(now, Tick, f64::from(seed) / 20.0) == Effect::Open {
                    open_count += 1;
                    association.handle(now, OpenFailed, f64::from(seed) / 20.0);
                }
            }
            assert!((5..30).contains(&open_count) && association.state() == State::GivenUp, "{open_count}");
        }
    }
}
