//! `quaypath-gateway`: one initiator on sockets, over NVMe/TCP or in service on the platform.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::Parser;
use quaypath_initiator::{core, run, Options};
use quaypath_platform::Config;
use quaypath_programs::{exit, say, Logs};

/// Takes transactions of clients over NVMe/TCP, or the platform's HTTP, and schedules them over the storage nodes.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-gateway --settings deploy/samples/rail.xml --number 0 --list /var/lib/quaypath/nodes.list\n  BALANCER_CONFIG=/run/balancer/config.json quaypath-gateway --platform"
)]
struct Arguments {
    /// Serve on the platform, by the configuration that BALANCER_CONFIG names
    #[arg(long, conflicts_with_all = ["settings", "listen", "register", "number", "seed", "list", "careless"])]
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
    /// Run the careless baseline in place of the decision core: keeps no rule, for comparison only
    #[arg(long)]
    careless: bool,
    #[command(flatten)]
    logs: Logs,
}

/// Done when standard input ends; read on a thread, as it may be a file or a terminal.
async fn stdin_ends() {
    let (ours, theirs) = std::os::unix::net::UnixStream::pair().expect("a pair of sockets");
    std::thread::spawn(move || {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
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

fn start(arguments: Arguments) -> Result<bool, String> {
    let (settings, list) = match (arguments.settings, arguments.list) {
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
    let options = Options {
        deployment: Rc::new(deployment),
        number: arguments.number,
        seed: arguments.seed.unwrap_or(nanos.map_or(1, |since| since.as_nanos() as u64)),
        list,
        core: if arguments.careless { core::careless } else { core::brain },
    };
    say!("listening {address}");
    let _ = std::io::stdout().flush();
    let until = arguments.until_stdin_closes;
    let stop = async move {
        if until {
            stdin_ends().await;
        } else {
            std::future::pending::<()>().await;
        }
    };
    let counts = run(&options, listener, stop).map_err(|error| error.to_string())?;
    if until {
        say!("{}", serde_json::to_string(&counts).map_err(|error| error.to_string())?);
    }
    Ok(true)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.logs.start();
    exit("quaypath-gateway", start(arguments))
}
