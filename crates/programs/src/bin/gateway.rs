//! `quaypath-gateway`: one initiator on sockets, over NVMe/TCP or over the HTTP of the platform.

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
use quaypath_programs::{exit_code, print_line, Logs};
use quaypath_record::{background, Clock};
use quaypath_settings::{Deployment, FleetSettings, SignalScope};

/// Accepts transactions of clients over NVMe/TCP, or over the platform's HTTP, and schedules them over storage nodes.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-gateway --settings deploy/samples/rail.xml --number 0 --list /var/lib/quaypath/nodes.list\n  BALANCER_CONFIG=/run/balancer/config.json quaypath-gateway --platform"
)]
struct Arguments {
    /// Serve on the platform, with the configuration file that BALANCER_CONFIG names
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
    /// Seed of its random numbers; taken from the clock by default
    #[arg(long)]
    seed: Option<u64>,
    /// File that keeps the last node list
    #[arg(long, required_unless_present = "platform")]
    list: Option<PathBuf>,
    /// Stop when standard input ends, and print the counts on standard output
    #[arg(long)]
    until_stdin_closes: bool,
    /// Run the baselines in place of the cores, which keep no rule and no promise; for comparison only
    #[arg(id = "careless", long = "careless")]
    baseline: bool,
    /// Address to receive the fleet's datagrams on, in place of this number's in the settings
    #[arg(long)]
    fleet_listen: Option<SocketAddr>,
    /// Address of a member of the fleet for datagrams, in place of the settings': NUMBER=ADDRESS
    #[arg(long, value_parser = parse_member)]
    member: Vec<(u16, SocketAddr)>,
    /// What it reports and lends to other initiators, in place of the settings': none, news, parts or all
    #[arg(long, value_parser = parse_signalled)]
    signals: Option<SignalScope>,
    /// Disable a safeguard, only for checking that the tests notice
    #[arg(long, hide = true, value_parser = parse_safeguard)]
    without: Option<Safeguard>,
    #[command(flatten)]
    logs: Logs,
}

fn parse_member(text: &str) -> Result<(u16, SocketAddr), String> {
    let pair = text
        .split_once('=')
        .and_then(|(number, address)| Some((number.parse().ok()?, address.parse().ok()?)));
    pair.ok_or_else(|| "a number and an address, as 3=127.0.0.1:7300".into())
}

fn parse_signalled(text: &str) -> Result<SignalScope, String> {
    match text {
        "none" => Ok(SignalScope::None),
        "news" => Ok(SignalScope::NodeReports),
        "parts" => Ok(SignalScope::Lending),
        "all" => Ok(SignalScope::All),
        _ => Err("none, news, parts or all".into()),
    }
}

fn parse_safeguard(text: &str) -> Result<Safeguard, String> {
    let known = Safeguard::ALL.iter().find(|(name, _)| *name == text);
    known.map(|(_, safeguard)| *safeguard).ok_or_else(|| {
        let names: Vec<&str> = Safeguard::ALL.iter().map(|(name, _)| *name).collect();
        names.join(", ")
    })
}

/// Executes a line of a test day's script from standard input: `disk SECONDS` stalls the disk, `clock RATE STEP` skews
/// this process's clock, `signals MANNER` sets how it reports to other initiators.
fn run_script_line(
    line: &str, skewed_clock: &SkewedClock, signal_control: &SignalControl,
) -> Result<(), String> {
    let number = |text: &str, limit: f64| {
        let number = text.parse::<f64>().ok().filter(|number| (0.0..=limit).contains(number));
        number.ok_or(format!("'{text}' is not a number from 0 to {limit}"))
    };
    match line.split_whitespace().collect::<Vec<_>>()[..] {
        ["disk", seconds] => background::stall_disk(Duration::from_secs_f64(number(seconds, 3600.0)?)),
        ["clock", rate, step] => {
            skewed_clock.set(Clock::default().now(), number(rate, 10.0)?, number(step, 86400.0)?)
        }
        ["signals", "well"] => signal_control.set(SignalBehavior::Correct),
        ["signals", "shouts"] => signal_control.set(SignalBehavior::ClaimsAlways),
        ["signals", "stale"] => signal_control.set(SignalBehavior::StaleReports),
        [] => {}
        _ => {
            let known = "'disk SECONDS', 'clock RATE STEP' or 'signals well|shouts|stale'";
            return Err(format!("'{line}' is not {known}"));
        }
    }
    Ok(())
}

/// Completes when standard input ends. A thread reads it, because it may be a file or a terminal, and executes its lines
/// as a test day's script.
async fn wait_for_stdin_end(skewed_clock: SkewedClock, signal_control: SignalControl) {
    let (waiting_end, reading_end) = std::os::unix::net::UnixStream::pair().expect("a pair of sockets");
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if let Err(reason) = run_script_line(&line, &skewed_clock, &signal_control) {
                eprintln!("quaypath-gateway: ignored a line of standard input: {reason}");
            }
        }
        drop(reading_end);
    });
    if let Ok(waiting_end) = async_io::Async::new(waiting_end) {
        let _ = waiting_end.readable().await;
    }
}

/// Serves on the platform.
fn serve_platform() -> Result<bool, String> {
    // The configuration may have a long node list, of which nothing is to stay in the heap.
    quaypath_platform::allocator::configure();
    let path = std::env::var_os("BALANCER_CONFIG")
        .ok_or("BALANCER_CONFIG is not set; it must be the path of a configuration file")?;
    let config =
        Config::read(path.as_ref(), |name| std::env::var(name).ok()).map_err(|error| error.to_string())?;
    let listen = config.listen;
    quaypath_platform::run(config).map_err(|error| format!("listen on {listen}: {error}"))?;
    Ok(true)
}

/// Configuration of what this gateway reports and lends to others; none if that is switched off.
fn signal_config(arguments: &Arguments, talk: &FleetSettings, seed: u64) -> Option<signal::SignalConfig> {
    let signalled = arguments.signals.unwrap_or(talk.signals);
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let own_config = signal::SignalConfig {
        own_id: MemberId(arguments.number as u16),
        members: talk.member.iter().map(|member| MemberId(member.number)).collect(),
        // Hundredths of a second, wrapping around: of two incarnations the later one is ahead by less than half of the
        // range.
        incarnation: wall.map_or(0, |since| (since.as_millis() / 10) as u32),
        seed,
        sends_reports: matches!(signalled, SignalScope::NodeReports | SignalScope::All),
        lends: matches!(signalled, SignalScope::Lending | SignalScope::All),
        message_cost: 0.0,
        disabled_safeguard: arguments.without,
    };
    (signalled != SignalScope::None && !arguments.baseline).then_some(own_config)
}

/// Options of this gateway as a member of the fleet, with its socket bound.
fn fleet_options(
    arguments: &Arguments, deployment: &Deployment, talk: &FleetSettings, seed: u64,
) -> Result<fleet::Options, String> {
    let number = arguments.number as u16;
    let own_entry = talk.member.iter().find(|member| member.number == number).ok_or_else(|| {
        format!("--number {number}: not a member of the fleet '{}' (settings, fleet, member)", talk.name)
    })?;
    let mut addresses = BTreeMap::new();
    for member in &talk.member {
        let replacement = arguments.member.iter().find(|(number, _)| *number == member.number);
        let address = match replacement {
            Some((_, address)) => *address,
            // The address was checked when the settings were loaded.
            None => member
                .address
                .parse()
                .map_err(|_| format!("fleet, member {}: invalid address", member.number))?,
        };
        addresses.insert(MemberId(member.number), address);
    }
    if let Some((unknown, _)) =
        arguments.member.iter().find(|(number, _)| !addresses.contains_key(&MemberId(*number)))
    {
        return Err(format!("--member {unknown}: not a member of the fleet '{}'", talk.name));
    }
    let listen = match arguments.fleet_listen {
        Some(address) => address,
        None => own_entry.address.parse().map_err(|_| format!("fleet, member {number}: invalid address"))?,
    };
    let socket = UdpSocket::bind(listen).map_err(|error| format!("fleet: listen on {listen}: {error}"))?;
    let entry = |member: &quaypath_settings::Member| MemberEntry {
        member: MemberId(member.number),
        weight: member.weight,
    };
    Ok(fleet::Options {
        socket: Rc::new(socket),
        addresses,
        config: FleetConfig {
            own_id: MemberId(number),
            fleet: message::fleet_hash(&talk.name),
            members: talk.member.iter().map(entry).collect(),
            check_period: talk.period,
            ack_timeout: talk.wait,
            helpers: usize::from(talk.helpers),
            duty_interval: talk.probe_every,
            takeover_window: talk.window,
            disabled_safeguard: None,
        },
        seed,
        name: format!("nqn.2026-12.example.quaypath:initiator:{number}"),
        probe_timeout: deployment.connections.connect,
        baseline: arguments.baseline,
        skewed_clock: SkewedClock::default(),
        signals: signal_config(arguments, talk, seed),
        signal_control: SignalControl::default(),
    })
}

fn start(arguments: Arguments) -> Result<bool, String> {
    let (settings, list_path) = match (arguments.settings.clone(), arguments.list.clone()) {
        (Some(settings), Some(list_path)) if !arguments.platform => (settings, list_path),
        _ => return serve_platform(),
    };
    let mut deployment = quaypath_settings::deployment(&settings).map_err(|error| error.to_string())?;
    if f64::from(arguments.number) >= deployment.core.initiators {
        let count = deployment.core.initiators;
        return Err(format!("--number {}: the deployment's layout has {count} initiators", arguments.number));
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
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let seed = arguments.seed.unwrap_or(since_epoch.map_or(1, |since| since.as_nanos() as u64));
    let fleet = match &deployment.fleet {
        Some(talk) => Some(fleet_options(&arguments, &deployment, talk, seed)?),
        None if arguments.fleet_listen.is_some() || !arguments.member.is_empty() => {
            return Err("--fleet-listen and --member need settings with a fleet".into());
        }
        None => None,
    };
    let lends = fleet.as_ref().and_then(|fleet| fleet.signals.as_ref()).is_some_and(|signals| signals.lends);
    if lends && arguments.without != Some(Safeguard::RestartHold) {
        deployment.core.earlier_loans_hold = lender_hold();
    }
    let options = Options {
        deployment: Rc::new(deployment),
        number: arguments.number,
        seed,
        list_path,
        core_factory: if arguments.baseline { core::baseline } else { core::scheduler },
        fleet,
    };
    print_line!("listening {address}");
    if let Some(fleet) = &options.fleet {
        let address = fleet.socket.local_addr().map_err(|error| error.to_string())?;
        print_line!("fleet {address}");
    }
    let _ = std::io::stdout().flush();
    let stop_at_stdin_end = arguments.until_stdin_closes;
    let skewed_clock =
        options.fleet.as_ref().map_or_else(SkewedClock::default, |fleet| fleet.skewed_clock.clone());
    let signal_control =
        options.fleet.as_ref().map_or_else(SignalControl::default, |fleet| fleet.signal_control.clone());
    let mut term_signals = match &options.fleet {
        Some(_) => Some(Signals::new([Signal::Term]).map_err(|error| format!("SIGTERM: {error}"))?),
        None => None,
    };
    let terminated = async move {
        match &mut term_signals {
            Some(term_signals) => drop(term_signals.next().await),
            None => std::future::pending().await,
        }
    };
    let stop = async move {
        if stop_at_stdin_end {
            wait_for_stdin_end(skewed_clock, signal_control).await;
        } else {
            std::future::pending::<()>().await;
        }
    };
    // At SIGTERM a member of a fleet leaves it in order; without a fleet SIGTERM ends the process as usual.
    let stop = stop.or(terminated);
    let counts = run(&options, listener, stop).map_err(|error| error.to_string())?;
    if stop_at_stdin_end {
        print_line!("{}", serde_json::to_string(&counts).map_err(|error| error.to_string())?);
    }
    Ok(true)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // On the platform the log is written directly; elsewhere no thread that serves requests may wait for it.
    let _log_guard = if arguments.platform {
        arguments.logs.start();
        None
    } else {
        Some(arguments.logs.start_in_background())
    };
    exit_code("quaypath-gateway", start(arguments))
}
