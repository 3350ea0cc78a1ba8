//! Several generators as one load: who has come, when all start, whose share is missing. Free of sockets and clock.

/// Where one generator stands.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Awaited,
    /// Here, with the same load.
    Joined,
    Running,
    /// Its result is here.
    Reported,
    /// Gone, since so many seconds into the load, for this reason.
    Missing {
        at: f64,
        why: String,
    },
}

/// What a generator says when it comes.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    pub version: String,
    /// Hash of both settings files.
    pub digest: u64,
}

/// From the last one's coming to the start, seconds: time for all to have read it and connected.
pub const LEAD: f64 = 2.0;
/// A generator that says nothing for so long is gone, seconds; it says something every second.
pub const SILENCE: f64 = 10.0;
/// How long all may take to come, seconds.
pub const COMING: f64 = 30.0;

pub struct Parts {
    own: Hello,
    states: Vec<State>,
    heard: Vec<f64>,
    began: f64,
    start: Option<f64>,
}

impl Parts {
    /// Waits from `now` on for so many.
    pub fn new(own: Hello, count: u32, now: f64) -> Self {
        let states = vec![State::Awaited; count as usize];
        Parts { own, heard: vec![now; states.len()], states, began: now, start: None }
    }

    pub fn states(&self) -> &[State] {
        &self.states
    }

    /// When second 0 is, once all are here.
    pub fn start(&self) -> Option<f64> {
        self.start
    }

    fn shift(&mut self, part: usize, to: State) {
        if let Some(state) = self.states.get_mut(part) {
            // What is here or gone stays so: a part that is told missing is not counted after all.
            if !matches!(state, State::Reported | State::Missing { .. }) {
                *state = to;
            }
        }
    }

    /// A generator comes; its place, or why it is not taken.
    pub fn join(&mut self, now: f64, hello: &Hello) -> Result<usize, String> {
        if hello.version != self.own.version {
            return Err(format!("version {} where {} is wanted", hello.version, self.own.version));
        }
        if hello.digest != self.own.digest {
            return Err("its settings are not those of this load".into());
        }
        let place = self.states.iter().position(|state| *state == State::Awaited);
        let place = place.ok_or("all generators are here already")?;
        self.shift(place, State::Joined);
        self.heard[place] = now;
        if self.states.iter().all(|state| *state == State::Joined) {
            self.start = Some(now + LEAD);
        }
        Ok(place)
    }

    /// It said that it goes on.
    pub fn beat(&mut self, now: f64, part: usize) {
        if let Some(heard) = self.heard.get_mut(part) {
            *heard = now;
        }
        if self.states.get(part) == Some(&State::Joined) && self.start.is_some() {
            self.shift(part, State::Running);
        }
    }

    pub fn reported(&mut self, part: usize) {
        self.shift(part, State::Reported);
    }

    /// Its connection ended, or it could not go on. Before the start its place is free again.
    pub fn gone(&mut self, now: f64, part: usize, why: &str) {
        let to = match self.start {
            None => State::Awaited,
            Some(start) => State::Missing { at: (now - start).max(0.0), why: why.into() },
        };
        self.shift(part, to);
    }

    /// Looks at the time. Fails where not all came.
    pub fn turn(&mut self, now: f64) -> Result<(), String> {
        if self.start.is_none() {
            let here = self.states.iter().filter(|state| **state == State::Joined).count();
            if now - self.began > COMING {
                return Err(format!("{here} of {} generators came within {COMING} s", self.states.len()));
            }
            return Ok(());
        }
        for part in 0..self.states.len() {
            let waits = matches!(self.states[part], State::Joined | State::Running);
            if waits && now - self.heard[part].max(self.start.unwrap_or(now)) > SILENCE {
                self.gone(now, part, &format!("silent for {SILENCE} s"));
            }
        }
        Ok(())
    }

    /// Every share is here or missing.
    pub fn done(&self) -> bool {
        let over = |state: &State| matches!(state, State::Reported | State::Missing { .. });
        self.states.iter().all(over)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hello(digest: u64) -> Hello {
        Hello { version: "1".into(), digest }
    }

    fn here(count: u32) -> Parts {
        let mut parts = Parts::new(hello(5), count, 100.0);
        (0..count as usize).for_each(|part| assert_eq!(parts.join(101.0, &hello(5)), Ok(part)));
        parts
    }

    #[test]
    fn all_start_together() {
        let mut parts = Parts::new(hello(5), 2, 100.0);
        parts.join(100.5, &hello(5)).unwrap();
        assert_eq!(parts.start(), None);
        parts.join(103.0, &hello(5)).unwrap();
        assert_eq!(parts.start(), Some(103.0 + LEAD));
        assert!(parts.join(103.5, &hello(5)).unwrap_err().contains("already"));
    }

    #[test]
    fn another_load_is_refused() {
        let mut parts = Parts::new(hello(5), 1, 0.0);
        assert!(parts.join(0.0, &hello(6)).unwrap_err().contains("settings"));
        let other = Hello { version: "2".into(), digest: 5 };
        assert!(parts.join(0.0, &other).unwrap_err().contains("version 2"));
    }

    /// One that goes before the start may come again; one that goes after it is missing, and stays so.
    #[test]
    fn going_before_and_after_the_start() {
        let mut parts = Parts::new(hello(5), 2, 100.0);
        parts.join(101.0, &hello(5)).unwrap();
        parts.gone(102.0, 0, "closed");
        assert_eq!(parts.states()[0], State::Awaited);
        let mut parts = here(2);
        parts.beat(110.0, 0);
        parts.gone(113.0, 0, "closed");
        assert_eq!(parts.states()[0], State::Missing { at: 10.0, why: "closed".into() });
        parts.reported(0);
        assert!(matches!(parts.states()[0], State::Missing { .. }));
        parts.reported(1);
        assert!(parts.done());
    }

    #[test]
    fn silence_is_death_and_absence_an_error() {
        let mut parts = here(2);
        parts.beat(110.0, 1);
        parts.turn(103.0 + SILENCE + 1.0).unwrap();
        assert!(matches!(&parts.states()[0], State::Missing { why, .. } if why.contains("silent")));
        assert_eq!(parts.states()[1], State::Running);
        let mut parts = Parts::new(hello(5), 3, 0.0);
        parts.join(1.0, &hello(5)).unwrap();
        parts.turn(COMING).unwrap();
        assert!(parts.turn(COMING + 1.0).unwrap_err().contains("1 of 3"));
    }
}
