//! What a host does on the admin queue between Connect and the first I/O queue, as a state machine: properties,
//! enable, identify, number of queues, events.

use crate::admin::{self, feature, identity, property, Identity, CC_ON, CSTS_READY};
use crate::command::{opcode, Cqe, Sqe};
use crate::host::{Event, Host};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The queue is not connected yet.
    Connecting,
    Capabilities,
    Enabling,
    /// Asked whether it is ready, so many times.
    Waiting(u32),
    Identifying,
    Queues,
    Events,
    Done,
}

/// Times that a controller is asked whether it is ready.
const MOST_ASKS: u32 = 100;

#[derive(Debug)]
pub struct Enable {
    step: Step,
    wanted: u16,
    events: bool,
    cid: u16,
    pub controller: u16,
    pub identity: Option<Identity>,
    /// I/O queues that the controller gives.
    pub queues: u16,
}

impl Enable {
    /// Wants this many I/O queues (0 for a discovery controller), and events or not.
    pub fn new(wanted: u16, events: bool) -> Self {
        Enable { step: Step::Connecting, wanted, events, cid: 0, controller: 0, identity: None, queues: 0 }
    }

    pub fn step(&self) -> Step {
        self.step
    }

    fn ask(&mut self, host: &mut Host, step: Step, sqe: Sqe) -> Result<bool, String> {
        self.step = step;
        let (cid, bytes) =
            host.submit(sqe, Vec::new(), admin::brings(&sqe)).ok_or("the admin queue is full")?;
        self.cid = cid;
        host.out.extend(bytes);
        Ok(step == Step::Done)
    }

    /// Takes one event of the admin queue; true when all is done. What it has to send is in the host's `out`.
    pub fn take(&mut self, host: &mut Host, event: Event) -> Result<bool, String> {
        let (cqe, data) = match event {
            Event::Ready { controller } if self.step == Step::Connecting => {
                self.controller = controller;
                return self.ask(host, Step::Capabilities, admin::property_get(property::CAP));
            }
            Event::Done { cid, cqe, data } if cid == self.cid => (cqe, data),
            Event::Refused { status } => return Err(format!("Connect refused with status {status:#x}")),
            Event::Terminated { status, info } => {
                return Err(format!("the controller ended the connection: fatal error {status} at {info}"));
            }
            _ => return Ok(false),
        };
        if cqe.status != 0 {
            return Err(format!("{:?} refused with status {:#x}", self.step, cqe.status));
        }
        self.on(host, cqe, &data)
    }

    fn on(&mut self, host: &mut Host, cqe: Cqe, data: &[u8]) -> Result<bool, String> {
        match self.step {
            Step::Capabilities => self.ask(host, Step::Enabling, admin::property_set(property::CC, CC_ON)),
            Step::Enabling => self.ask(host, Step::Waiting(1), admin::property_get(property::CSTS)),
            Step::Waiting(asks) if cqe.dw0 & CSTS_READY == 0 => {
                if asks >= MOST_ASKS {
                    return Err("the controller does not become ready".into());
                }
                self.ask(host, Step::Waiting(asks + 1), admin::property_get(property::CSTS))
            }
            Step::Waiting(_) => self.ask(host, Step::Identifying, admin::identify(1, 0)),
            Step::Identifying => {
                self.identity = Some(identity(data).ok_or("Identify Controller is too short")?);
                if self.wanted == 0 {
                    return self.ask_events(host);
                }
                let count = u32::from(self.wanted - 1);
                let sqe = admin::set_feature(feature::QUEUES, count | count << 16);
                self.ask(host, Step::Queues, sqe)
            }
            Step::Queues => {
                self.queues = ((cqe.dw0 & 0xffff) as u16 + 1).min(self.wanted);
                self.ask_events(host)
            }
            Step::Events => {
                // Held until something happens.
                self.ask(host, Step::Done, admin::plain(opcode::ASYNC_EVENT))
            }
            Step::Connecting | Step::Done => Ok(false),
        }
    }

    fn ask_events(&mut self, host: &mut Host) -> Result<bool, String> {
        if !self.events {
            self.step = Step::Done;
            return Ok(true);
        }
        self.ask(host, Step::Events, admin::set_feature(feature::ASYNC_EVENTS, admin::all_events()))
    }
}
