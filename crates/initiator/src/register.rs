//! The register's client: keeps one connection, writes the core's calls, hands over the news.

use std::cell::RefCell;
use std::io;
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quaypath_settings::Mode;
use tracing::{debug, warn};

use crate::instance::Instance;
use crate::list::{Call, News, LONGEST_LINE};
use crate::net::read_line;

/// Waits between attempts to connect, seconds. Connections only: when to call is the core's.
const FIRST_WAIT: f64 = 0.1;
const LAST_WAIT: f64 = 2.0;

/// Follows the register for the life of the instance. Where the register must be asked, a call that cannot be
/// written or a connection that ends is a failed call to the core, which decides when to call again.
pub async fn follow(instance: Weak<RefCell<Instance>>) {
    let mut wait = FIRST_WAIT;
    loop {
        let Some(this) = instance.upgrade() else { return };
        let (register, hello, ready) = {
            let this = this.borrow();
            (this.deployment.register.clone(), this.hello(), this.calls_ready.clone())
        };
        drop(this);
        // An asked register is only connected to when there is something to ask.
        if register.mode == Mode::Asked {
            loop {
                let Some(this) = instance.upgrade() else { return };
                if !this.borrow().calls.is_empty() {
                    break;
                }
                drop(this);
                ready.wait().await;
            }
        }
        let ended = match connect(&register.address).await {
            Ok(stream) => {
                wait = FIRST_WAIT;
                talk(&instance, &stream, hello).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = ended {
            debug!(%error, address = register.address, "register");
        }
        let Some(this) = instance.upgrade() else { return };
        {
            let mut this = this.borrow_mut();
            this.begin_turn();
            // Whatever was asked of this connection is lost with it, and so is a watch.
            this.calls.clear();
            this.call_failed();
            this.finish_turn();
            this.wake.tell();
        }
        drop(this);
        if register.mode == Mode::Pushed {
            Timer::after(Duration::from_secs_f64(wait)).await;
            wait = (wait * 2.0).min(LAST_WAIT);
        }
    }
}

async fn connect(address: &str) -> io::Result<Async<TcpStream>> {
    let address = address.parse::<std::net::SocketAddr>().map_err(io::Error::other)?;
    let late = async {
        Timer::after(Duration::from_secs(1)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    Async::<TcpStream>::connect(address).or(late).await
}

async fn write(stream: &Async<TcpStream>, call: Call) -> io::Result<()> {
    let mut line = serde_json::to_vec(&call)?;
    line.push(b'\n');
    let mut stream = stream;
    stream.write_all(&line).await
}

async fn talk(instance: &Weak<RefCell<Instance>>, stream: &Async<TcpStream>, hello: Call) -> io::Result<()> {
    write(stream, hello).await?;
    let writes = async {
        loop {
            let Some(this) = instance.upgrade() else { return Ok(()) };
            let (call, ready): (_, Rc<_>) = {
                let mut this = this.borrow_mut();
                (this.calls.pop_front(), this.calls_ready.clone())
            };
            drop(this);
            match call {
                Some(call) => write(stream, call).await?,
                None => ready.wait().await,
            }
        }
    };
    let reads = async {
        let mut held = Vec::new();
        loop {
            let Some(line) = read_line(stream, &mut held, LONGEST_LINE).await? else {
                return Err(io::ErrorKind::ConnectionReset.into());
            };
            let news: News = match serde_json::from_slice(&line) {
                Ok(news) => news,
                Err(error) => {
                    warn!(%error, "the register sent what is not news");
                    return Err(io::Error::other(error));
                }
            };
            let Some(this) = instance.upgrade() else { return Ok(()) };
            let mut this = this.borrow_mut();
            this.begin_turn();
            this.news(&news);
            this.finish_turn();
            this.wake.tell();
        }
    };
    reads.or(writes).await
}
