//! Command lines of the programs, and their exit codes: 0 done, 1 faults found, refused or
//! unknown, 2 arguments wrong.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use jiff::Timestamp;
use wire::Priority;

use crate::ops::reload::Source;
use crate::ops::{self, Error, Output};

/// Meaning of the exit codes, as the help shows it.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 faults found, a node without an answer, a \
                          refusal, or an unknown outcome; 2 wrong arguments";

/// Threads that carry a program's tasks at most; more of them cost time in waking each other.
const THREADS_MAX: usize = 4;

/// Runs `hyssopd`.
pub fn daemon() -> ExitCode {
    let matches = daemon_command().get_matches();
    exit(run_daemon(&matches))
}

/// Runs `hyssopctl`.
pub fn client() -> ExitCode {
    let matches = client_command().get_matches();
    exit(run_client(&matches))
}

fn exit(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Describes the arguments of `hyssopd`.
pub fn daemon_command() -> Command {
    Command::new("hyssopd")
        .about("Runs a node of the serving layer")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file in TOML"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("KEY=VALUE")
                .action(ArgAction::Append)
                .value_parser(pair)
                .help("Replaces a key of the settings, for example vm.id=vm-2"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

fn pair(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or("write KEY=VALUE")?;
    Ok((key.to_owned(), value.to_owned()))
}

fn run_daemon(matches: &ArgMatches) -> Result<(), Error> {
    let path: &PathBuf = matches.get_one("settings").expect("clap demands settings");
    let overrides = matches
        .get_many::<(String, String)>("set")
        .into_iter()
        .flatten()
        .cloned();
    let source = Source::open(path.clone(), overrides.collect())?;
    let settings = source.settings();
    if matches.get_flag("check-settings") {
        println!("settings of {} are sound", settings.vm.id);
        return Ok(());
    }
    let threads = settings.exchange.as_ref().map(|exchange| exchange.threads);
    block_on_threads(threads, ops::serve::run(source))
}

fn block_on(work: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    block_on_threads(None, work)
}

/// Runs `work` on so many threads, one for each core where none are named.
fn block_on_threads(
    threads: Option<usize>,
    work: impl Future<Output = Result<(), Error>>,
) -> Result<(), Error> {
    let cores = || {
        std::thread::available_parallelism()
            .map_or(1, usize::from)
            .min(THREADS_MAX)
    };
    let runtime = match threads.unwrap_or_else(cores) {
        1 => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?,
        threads => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()?,
    };
    let result = runtime.block_on(work);
    // Tasks that wait for peers or the platform must not hold the process up.
    runtime.shutdown_background();
    result
}

/// Describes the arguments of `hyssopctl`.
pub fn client_command() -> Command {
    let output = Arg::new("output")
        .long("output")
        .value_name("FORM")
        .value_parser(["table", "json"])
        .default_value("table")
        .global(true)
        .help("Form of the output");
    let at = Arg::new("at")
        .long("at")
        .value_name("TIME")
        .value_parser(value_parser!(Timestamp))
        .help("Time that counts as now, for example 2026-07-01T08:00:00Z");
    Command::new("hyssopctl")
        .about("Checks rules, asks nodes, and demonstrates the serving layer")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg(output)
        .subcommand(
            Command::new("check")
                .about("Reports every fault and warning of rules files")
                .arg(files("files").required(true))
                .arg(at.clone()),
        )
        .subcommand(
            Command::new("diff")
                .about("Tells what changes for whom between two revisions")
                .arg(files("before").long("before").required(true))
                .arg(files("after").long("after").required(true)),
        )
        .subcommand(explain_command(at))
        .subcommand(
            Command::new("pack")
                .about("Turns rules files into values to publish at the platform")
                .arg(files("files").required(true))
                .arg(
                    Arg::new("revision")
                        .long("revision")
                        .value_name("N")
                        .required(true)
                        .value_parser(value_parser!(u64))
                        .help("Number of the revision; above every one published before"),
                )
                .arg(
                    Arg::new("prefix")
                        .long("prefix")
                        .value_name("PREFIX")
                        .default_value("hyssopscale/")
                        .help("Prefix of the platform's keys, as in the settings"),
                )
                .arg(
                    Arg::new("out")
                        .long("out")
                        .value_name("DIR")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Folder that the values are written to"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Shows what nodes know")
                .arg(nodes().required(true)),
        )
        .subcommand(
            Command::new("adapters")
                .about("Shows which adapters are resident where, and which wait")
                .arg(nodes().required(true)),
        )
        .subcommand(requests_command())
        .subcommand(watch_command())
        .subcommand(
            Command::new("demo")
                .about("Runs nodes and stand-ins in one process")
                .arg(
                    Arg::new("log")
                        .long("log")
                        .action(ArgAction::SetTrue)
                        .help("Shows the nodes' decision lines"),
                ),
        )
        .subcommand(load_command())
        .subcommand(
            Command::new("completions")
                .about("Prints completions for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn explain_command(at: Arg) -> Command {
    let text = |name: &'static str| Arg::new(name).long(name).value_name("NAME");
    Command::new("explain")
        .about("Tells which rule a request matches, and why the others do not")
        .arg(files("files").conflicts_with("node"))
        .arg(nodes())
        .arg(text("caller").required(true).help("The caller"))
        .arg(
            text("trade")
                .default_value("")
                .help("The trade; the caller's default without it"),
        )
        .arg(
            text("priority")
                .value_parser(["urgent", "normal", "routine"])
                .default_value("normal")
                .help("The priority"),
        )
        .arg(text("model").help("The model that the request names"))
        .arg(at)
}

fn requests_command() -> Command {
    let text = |name: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_name("NAME");
        arg.required(true).help(help)
    };
    Command::new("requests")
        .about("Asks about calls that may not be repeated")
        .subcommand_required(true)
        .subcommand(
            Command::new("find")
                .about("Tells what became of a call; exit code 1 where that is unknown")
                .arg(
                    Arg::new("key")
                        .value_name("KEY")
                        .required(true)
                        .help("The idempotency key, as the caller sent it"),
                )
                .arg(text("caller", "The caller"))
                .arg(text("service", "The service, as the rules name it"))
                .arg(nodes().required(true)),
        )
}

fn watch_command() -> Command {
    Command::new("watch")
        .about("Shows nodes, engines and adapters again and again")
        .arg(nodes().required(true))
        .arg(
            Arg::new("interval")
                .long("interval")
                .value_name("SECONDS")
                .default_value("2")
                .value_parser(interval)
                .help("Time between two looks"),
        )
        .arg(
            Arg::new("times")
                .long("times")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .help("Number of looks; until interrupted without it"),
        )
}

fn interval(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text.parse().map_err(|_| "give a number of seconds")?;
    if (0.05..=3600.0).contains(&seconds) {
        Ok(Duration::from_secs_f64(seconds))
    } else {
        Err("give 0.05 to 3600 seconds".to_owned())
    }
}

fn load_command() -> Command {
    let option =
        |name: &'static str, value: &'static str| Arg::new(name).long(name).value_name(value);
    let number = |name: &'static str, default: &'static str| {
        option(name, "N")
            .default_value(default)
            .value_parser(value_parser!(f64))
    };
    let address =
        |name: &'static str| option(name, "ADDRESS").value_parser(value_parser!(SocketAddr));
    Command::new("load")
        .about("Sends requests at a given rate and reports latencies and faults")
        .arg(address("entry").help("A node's address for callers; the others are asked for"))
        .arg(
            address("engine")
                .conflicts_with("entry")
                .requires("instance")
                .help("An engine to send to without a node between, to compare"),
        )
        .arg(option("instance", "NAME").help("Instance that the engine holds"))
        .arg(nodes().help("Operators' addresses of nodes whose usage is reported"))
        .arg(option("token", "TOKEN").help("The caller's token"))
        .arg(option("caller", "NAME").help("The caller's name, where nodes trust it"))
        .arg(
            option("model", "MODEL")
                .action(ArgAction::Append)
                .help("Model to name, most popular first; auto without it"),
        )
        .arg(number("rate", "20").help("Requests a second"))
        .arg(number("seconds", "10").help("Length of the run"))
        .arg(number("exponent", "1").help("Exponent of the models' popularity"))
        .arg(number("urgent", "0").help("Part of the requests that are urgent"))
        .arg(number("routine", "0").help("Part of the requests that are routine"))
        .arg(
            option("tokens", "N")
                .default_value("32")
                .value_parser(value_parser!(u64))
                .help("Tokens of an answer"),
        )
        .arg(
            option("seed", "N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the requests"),
        )
        .arg(number("timeout", "30").help("Time limit of a request in seconds"))
        .arg(
            Arg::new("verify")
                .long("verify")
                .action(ArgAction::SetTrue)
                .help("Compares texts with what the stand-in of an engine answers"),
        )
}

fn load_config(matches: &ArgMatches) -> Result<ops::load::Config, Error> {
    use ops::load::{Config, Credential, Plan, Target};
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let number = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or_default();
    let count = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let seconds = |name: &str| Duration::from_secs_f64(number(name).max(0.0));
    let target = match (matches.get_one("entry"), matches.get_one("engine")) {
        (Some(entry), _) => Target::Nodes(*entry),
        (None, Some(engine)) => Target::Engine(*engine, text("instance").unwrap_or_default()),
        (None, None) => {
            let help = "name --entry or --engine\nhelp: --entry takes a node's caller address";
            return Err(Error::Found(help.to_owned()));
        }
    };
    let caller = match text("token") {
        Some(token) => Credential::Token(token),
        None => Credential::Name(text("caller").unwrap_or_else(|| "load".to_owned())),
    };
    let models = many(matches, "model");
    Ok(Config {
        target,
        operators: many(matches, "node"),
        caller,
        plan: Plan {
            seed: count("seed"),
            rate: number("rate"),
            duration: seconds("seconds"),
            models,
            exponent: number("exponent"),
            urgent: number("urgent"),
            routine: number("routine"),
            tokens: count("tokens"),
        },
        timeout: seconds("timeout"),
        verify: matches.get_flag("verify"),
    })
}

fn files(name: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Rules files, in their order")
}

fn nodes() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("ADDRESS")
        .num_args(1..)
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' address of a node")
}

fn run_client(matches: &ArgMatches) -> Result<(), Error> {
    let (name, matches) = matches.subcommand().expect("clap demands a command");
    let output = match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Output::Json,
        _ => Output::Table,
    };
    let now = || match matches.try_get_one::<Timestamp>("at") {
        Ok(Some(at)) => *at,
        _ => Timestamp::now(),
    };
    match name {
        "check" => ops::check::run(paths(matches, "files"), output, now()),
        "diff" => ops::diff::run(paths(matches, "before"), paths(matches, "after"), output),
        "explain" => explain(matches, output, now()),
        "pack" => {
            let prefix: &String = matches.get_one("prefix").expect("clap gives a default");
            let revision: u64 = *matches.get_one("revision").expect("clap demands it");
            let out: &PathBuf = matches.get_one("out").expect("clap demands it");
            ops::pack::run(prefix, revision, paths(matches, "files"), out, output)
        }
        "status" => {
            let nodes: Vec<SocketAddr> = many(matches, "node");
            block_on(ops::status::run(nodes, output))
        }
        "adapters" => block_on(ops::adapters::run(many(matches, "node"), output)),
        "requests" => requests(matches, output),
        "watch" => {
            let interval: Duration = *matches.get_one("interval").expect("clap gives a default");
            let times = matches.get_one("times").copied();
            block_on(ops::watch::run(
                many(matches, "node"),
                interval,
                times,
                output,
            ))
        }
        "demo" => block_on(ops::demo::run(matches.get_flag("log"), output)),
        "load" => block_on(ops::load::run(load_config(matches)?, output)),
        "completions" => {
            let shell: Shell = *matches.get_one("shell").expect("clap demands it");
            clap_complete::generate(
                shell,
                &mut client_command(),
                "hyssopctl",
                &mut std::io::stdout(),
            );
            Ok(())
        }
        other => unreachable!("clap knows no command {other}"),
    }
}

fn requests(matches: &ArgMatches, output: Output) -> Result<(), Error> {
    let (_, matches) = matches.subcommand().expect("clap demands a command");
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let call = ops::requests::Call {
        caller: text("caller"),
        service: text("service"),
        key: text("key"),
    };
    block_on(ops::requests::find(many(matches, "node"), &call, output))
}

fn explain(matches: &ArgMatches, output: Output, at: Timestamp) -> Result<(), Error> {
    let get = |name: &str| matches.get_one::<String>(name).cloned();
    let ask = ops::explain::Ask {
        caller: get("caller").unwrap_or_default(),
        trade: get("trade").unwrap_or_default(),
        priority: get("priority")
            .and_then(|name| Priority::parse(&name))
            .unwrap_or_default(),
        model: get("model"),
    };
    let nodes: Vec<SocketAddr> = many(matches, "node");
    match nodes.first() {
        Some(node) => block_on(ops::explain::online(*node, &ask, output)),
        None => ops::explain::offline(paths(matches, "files"), &ask, output, at),
    }
}

fn paths(matches: &ArgMatches, name: &str) -> Vec<PathBuf> {
    many(matches, name)
}

fn many<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}
