//! `quaypath-gateway`: one initiator on sockets, over NVMe/TCP or in service on the platform.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use clap::Parser;
use futures_lite::{FutureExt, StreamExt};
use quaypath_fleet::config::{FleetConfig, MemberEntry};
use quaypath_fleet::lending::{lender_hold, Safeguard};
use quaypath_fleet::signal::{self, SignalBehavior};
use quaypath_fleet::{message, MemberId};
use quaypath_initiator::fleet::{self, SignalControl, SkewedClock};
use quaypath_initiator::{core, run, Options};
use quaypath_platform::Config;
use quaypath_programs::{exit, say, Logs};
use quaypath_record::{background, Clock};
use quaypath_settings::{Deployment, Signalled, Talk};

/// Takes transactions of clients over NVMe/TCP, or the platform's HTTP, and schedules them over the storage nodes.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-gateway --settings deploy/samples/rail.xml --number 0 --list /var/lib/quaypath/nodes.list\n  BALANCER_CONFIG=/run/balancer/config.json quaypath-gateway --platform"
)]
struct Arguments {
    /// Serve on the platform, by the configuration that BALANCER_CONFIG names
    #[arg(long, conflicts_with_all = ["settings", "listen", "register", "number", "seed", "list", "careless", "fleet_listen", "member", "signals", "without"])]
    platform: bool,
    /// Deployment, XML by quaypath.xsd
    #[arg(long, required_unless_present = "platform")]
    settings: Option<PathBuf>,
    /// Address to listen on, in place of the settings'
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Address of the node register, in place of the settings'
    #[arg(long)]
    register: Option<SocketAddr>,
    /// Number of this initiator among the deployment's, from 0
    #[arg(long, default_value_t = 0)]
    number: u32,
    /// Seed of its chance; drawn from the clock where absent
    #[arg(long)]
    seed: Option<u64>,
    /// Where the last node list is kept
    #[arg(long, required_unless_present = "platform")]
    list: Option<PathBuf>,
    /// Stop when standard input ends, and print the counts on standard output
    #[arg(long)]
    until_stdin_closes: bool,
    /// Run the careless baselines in place of the cores: keep no rule and no promise, for comparison only
    #[arg(long)]
    careless: bool,
    /// Address to take the fleet's datagrams on, in place of this number's in the settings
    #[arg(long)]
    fleet_listen: Option<SocketAddr>,
    /// Where a member of the fleet takes datagrams, in place of the settings': NUMBER=ADDRESS
    #[arg(long, value_parser = member)]
    member: Vec<(u16, SocketAddr)>,
    /// What it tells and lends to other initiators, in place of the settings': none, news, parts or all
    #[arg(long, value_parser = signalled)]
    signals: Option<Signalled>,
    /// Take a safeguard away, for tests of the tests only
    #[arg(long, hide = true, value_parser = safeguard)]
    without: Option<Safeguard>,
    #[command(flatten)]
    logs: Logs,
}

fn member(word: &str) -> Result<(u16, SocketAddr), String> {
    let pair = word
        .split_once('=')
        .and_then(|(number, address)| Some((number.parse().ok()?, address.parse().ok()?)));
    pair.ok_or_else(|| "a number and an address, as 3=127.0.0.1:7300".into())
}

fn signalled(word: &str) -> Result<Signalled, String> {
    match word {
        "none" => Ok(Signalled::None),
        "news" => Ok(Signalled::News),
        "parts" => Ok(Signalled::Parts),
        "all" => Ok(Signalled::All),
        _ => Err("none, news, parts or all".into()),
    }
}

fn safeguard(word: &str) -> Result<Safeguard, String> {
    let known = Safeguard::ALL.iter().find(|(name, _)| *name == word);
    known.map(|(_, safeguard)| *safeguard).ok_or_else(|| {
        let names: Vec<&str> = Safeguard::ALL.iter().map(|(name, _)| *name).collect();
        names.join(", ")
    })
}

/// A line of a day's script on standard input: `disk SECONDS` for which it takes nothing, `clock RATE STEP` of this
/// process, `signals MANNER` to other initiators.
fn scripted(line: &str, skew: &SkewedClock, spoken: &SignalControl) -> Result<(), String> {
    let number = |word: &str, most: f64| {
        let number = word.parse::<f64>().ok().filter(|number| (0.0..=most).contains(number));
        number.ok_or(format!("'{word}' is not a number from 0 to {most}"))
    };
    match line.split_whitespace().collect::<Vec<_>>()[..] {
        ["disk", seconds] => background::stall_disk(Duration::from_secs_f64(number(seconds, 3600.0)?)),
        ["clock", rate, step] => {
            skew.set(Clock::default().now(), number(rate, 10.0)?, number(step, 86400.0)?)
        }
        ["signals", "well"] => spoken.set(SignalBehavior::Correct),
        ["signals", "shouts"] => spoken.set(SignalBehavior::ClaimsAlways),
        ["signals", "stale"] => spoken.set(SignalBehavior::StaleReports),
        [] => {}
        _ => {
            let known = "'disk SECONDS', 'clock RATE STEP' or 'signals well|shouts|stale'";
            return Err(format!("'{line}' is not {known}"));
        }
    }
    Ok(())
}

/// Done when standard input ends; read on a thread, as it may be a file or a terminal. Its lines are a day's script.
async fn stdin_ends(skew: SkewedClock, spoken: SignalControl) {
    let (ours, theirs) = std::os::unix::net::UnixStream::pair().expect("a pair of sockets");
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if let Err(what) = scripted(&line, &skew, &spoken) {
                eprintln!("quaypath-gateway: standard input: {what}");
            }
        }
        drop(theirs);
    });
    if let Ok(ours) = async_io::Async::new(ours) {
        let _ = ours.readable().await;
    }
}

/// In service on the platform.
fn serve() -> Result<bool, String> {
    let path = std::env::var_os("BALANCER_CONFIG")
        .ok_or("BALANCER_CONFIG is not set: the path of a configuration")?;
    let config =
        Config::read(path.as_ref(), |name| std::env::var(name).ok()).map_err(|error| error.to_string())?;
    let listen = config.listen;
    quaypath_platform::run(config).map_err(|error| format!("listen on {listen}: {error}"))?;
    Ok(true)
}

/// What this number tells and lends to others; none where that is switched off.
fn signals(arguments: &Arguments, of: &Talk, seed: u64) -> Option<signal::SignalConfig> {
    let how = arguments.signals.unwrap_or(of.signals);
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let figures = signal::SignalConfig {
        own_id: MemberId(arguments.number as u16),
        members: of.member.iter().map(|member| MemberId(member.number)).collect(),
        // Hundredths of a second, over and over: of two lives the one ahead by less than half of all is the later.
        incarnation: wall.map_or(0, |since| (since.as_millis() / 10) as u32),
        seed,
        sends_reports: matches!(how, Signalled::News | Signalled::All),
        lends: matches!(how, Signalled::Parts | Signalled::All),
        message_cost: 0.0,
        disabled_safeguard: arguments.without,
    };
    (how != Signalled::None && !arguments.careless).then_some(figures)
}

/// This number's place in the fleet, on a socket that is bound.
fn talk(
    arguments: &Arguments, deployment: &Deployment, of: &Talk, seed: u64,
) -> Result<fleet::Options, String> {
    let number = arguments.number as u16;
    let own = of.member.iter().find(|member| member.number == number).ok_or_else(|| {
        format!("--number {number}: not a member of the fleet '{}' (settings, fleet, member)", of.name)
    })?;
    let mut addresses = BTreeMap::new();
    for member in &of.member {
        let given = arguments.member.iter().find(|(number, _)| *number == member.number);
        let address = match given {
            Some((_, address)) => *address,
            // Checked when the settings were loaded.
            None => {
                member.address.parse().map_err(|_| format!("fleet, member {}: address", member.number))?
            }
        };
        addresses.insert(MemberId(member.number), address);
    }
    if let Some((stranger, _)) =
        arguments.member.iter().find(|(number, _)| !addresses.contains_key(&MemberId(*number)))
    {
        return Err(format!("--member {stranger}: not a member of the fleet '{}'", of.name));
    }
    let listen = match arguments.fleet_listen {
        Some(address) => address,
        None => own.address.parse().map_err(|_| format!("fleet, member {number}: address"))?,
    };
    let socket = UdpSocket::bind(listen).map_err(|error| format!("fleet: listen on {listen}: {error}"))?;
    let row = |member: &quaypath_settings::Member| MemberEntry {
        member: MemberId(member.number),
        weight: member.weight,
    };
    Ok(fleet::Options {
        socket: Rc::new(socket),
        addresses,
        figures: FleetConfig {
            own_id: MemberId(number),
            fleet: message::fleet_hash(&of.name),
            members: of.member.iter().map(row).collect(),
            check_period: of.period,
            ack_timeout: of.wait,
            helpers: usize::from(of.helpers),
            duty_interval: of.probe_every,
            takeover_window: of.window,
            disabled_safeguard: None,
        },
        seed,
        name: format!("nqn.2026-12.example.quaypath:initiator:{number}"),
        probe_timeout: deployment.connections.connect,
        baseline: arguments.careless,
        skewed_clock: SkewedClock::default(),
        signals: signals(arguments, of, seed),
        manner: SignalControl::default(),
    })
}

fn start(arguments: Arguments) -> Result<bool, String> {
    let (settings, list) = match (arguments.settings.clone(), arguments.list.clone()) {
        (Some(settings), Some(list)) if !arguments.platform => (settings, list),
        _ => return serve(),
    };
    let mut deployment = quaypath_settings::deployment(&settings).map_err(|error| error.to_string())?;
    if f64::from(arguments.number) >= deployment.core.initiators {
        let most = deployment.core.initiators;
        return Err(format!("--number {}: the deployment's layout has {most} initiators", arguments.number));
    }
    if let Some(register) = arguments.register {
        deployment.register.address = register.to_string();
    }
    let listen = match arguments.listen {
        Some(address) => address.to_string(),
        None => deployment.listen.address.clone(),
    };
    let listener = TcpListener::bind(&listen).map_err(|error| format!("listen on {listen}: {error}"))?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let seed = arguments.seed.unwrap_or(nanos.map_or(1, |since| since.as_nanos() as u64));
    let fleet = match &deployment.fleet {
        Some(of) => Some(talk(&arguments, &deployment, of, seed)?),
        None if arguments.fleet_listen.is_some() || !arguments.member.is_empty() => {
            return Err("--fleet-listen, --member: the settings have no fleet".into());
        }
        None => None,
    };
    let lends = fleet.as_ref().and_then(|fleet| fleet.signals.as_ref()).is_some_and(|signals| signals.lends);
    if lends && arguments.without != Some(Safeguard::Hold) {
        deployment.core.earlier_loans_hold = lender_hold();
    }
    let options = Options {
        deployment: Rc::new(deployment),
        number: arguments.number,
        seed,
        list_path: list,
        core_factory: if arguments.careless { core::baseline } else { core::scheduler },
        fleet,
    };
    say!("listening {address}");
    if let Some(fleet) = &options.fleet {
        let address = fleet.socket.local_addr().map_err(|error| error.to_string())?;
        say!("fleet {address}");
    }
    let _ = std::io::stdout().flush();
    let until = arguments.until_stdin_closes;
    let skew = options.fleet.as_ref().map_or_else(SkewedClock::default, |fleet| fleet.skewed_clock.clone());
    let spoken = options.fleet.as_ref().map_or_else(SignalControl::default, |fleet| fleet.manner.clone());
    let mut terms = match &options.fleet {
        Some(_) => Some(Signals::new([Signal::Term]).map_err(|error| format!("SIGTERM: {error}"))?),
        None => None,
    };
    let term = async move {
        match &mut terms {
            Some(terms) => drop(terms.next().await),
            None => std::future::pending().await,
        }
    };
    let stop = async move {
        if until {
            stdin_ends(skew, spoken).await;
        } else {
            std::future::pending::<()>().await;
        }
    };
    // A member of a fleet leaves it in order at SIGTERM.
    let stop = stop.or(term);
    let counts = run(&options, listener, stop).map_err(|error| error.to_string())?;
    if until {
        say!("{}", serde_json::to_string(&counts).map_err(|error| error.to_string())?);
    }
    Ok(true)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // On the platform the log goes as it always has; elsewhere nothing that serves waits for it.
    let _logs = if arguments.platform {
        arguments.logs.start();
        None
    } else {
        Some(arguments.logs.start_apart())
    };
    exit("quaypath-gateway", start(arguments))
}
