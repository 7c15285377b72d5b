//! Definition and parsing of the command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::ParseFailure;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use wagtailledge_inventory::TimeSpan;

/// Exit code for a wrong command line.
const EXIT_USAGE: u8 = 2;
/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;
/// Default length of the windows of `causes`, in seconds.
const DEFAULT_WINDOW: u32 = 10;
/// Default time limit of `inventory apply --wait`.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A subcommand with its options.
#[derive(Debug, Clone)]
pub enum Command {
    /// Run an entry host.
    Serve {
        /// Settings file of this host.
        settings: PathBuf,
    },
    /// Check a settings file and inventories.
    Check {
        /// Settings file to check, if any.
        settings: Option<PathBuf>,
        /// Inventory files or deployment folders to check.
        inventories: Vec<PathBuf>,
    },
    /// Check, compare, apply or show the inventory.
    Inventory(InventoryCommand),
    /// Explain the outcome of one request.
    Explain {
        /// Id of the request, as in the key `request` of the log lines.
        request: String,
        /// Log files of the hosts; standard input if empty.
        logs: Vec<PathBuf>,
    },
    /// Count how requests ended and why.
    Causes {
        /// Length of the windows that the requests are counted in, in seconds.
        every: u32,
        /// Log files of the hosts; standard input if empty.
        logs: Vec<PathBuf>,
    },
    /// Show the leader and revision in force of each host, and the loaded models and adapters.
    Status {
        /// Settings file of this host.
        settings: PathBuf,
        /// Print JSON instead of tables.
        json: bool,
    },
}

/// A subcommand of `inventory` with its options.
#[derive(Debug, Clone)]
pub enum InventoryCommand {
    /// Check an inventory file.
    Check {
        /// Inventory file or deployment folder.
        file: PathBuf,
    },
    /// Show the changes that an edit would make, without applying it.
    Diff(EditOptions),
    /// Merge an edit into the accepted inventory.
    Apply {
        /// The inventories that define the edit.
        edit: EditOptions,
        /// Wait until the new revision is in force on every live host.
        wait: bool,
        /// Time limit of `wait`.
        timeout: TimeSpan,
    },
    /// Show the accepted inventory.
    Show {
        /// Settings file of this host.
        settings: PathBuf,
    },
    /// List the latest accepted edits.
    History {
        /// Settings file of this host.
        settings: PathBuf,
    },
}

/// An edit, given as the inventories before and after it.
#[derive(Debug, Clone)]
pub struct EditOptions {
    /// Settings file of this host.
    pub settings: PathBuf,
    /// Inventory file or deployment folder before the edit.
    pub base: Option<PathBuf>,
    /// Use the accepted inventory as the base, so that the edit replaces it.
    pub replace: bool,
    /// Inventory file or deployment folder after the edit.
    pub file: PathBuf,
}

/// Parses the command line. If it printed help or a usage error instead, the error is the exit
/// code.
pub fn parse() -> Result<Command, ExitCode> {
    options().run_inner(Args::current_args()).map_err(|failure| match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => {
            failure.print_message(HELP_WIDTH);
            ExitCode::SUCCESS
        }
        ParseFailure::Stderr(_) => {
            failure.print_message(HELP_WIDTH);
            ExitCode::from(EXIT_USAGE)
        }
    })
}

fn settings() -> impl Parser<PathBuf> {
    long("settings").short('s').help("Settings file of this host").argument("FILE")
}

fn options() -> OptionParser<Command> {
    let serve = construct!(Command::Serve { settings() })
        .to_options()
        .descr("Run an entry host")
        .command("serve");
    let check =
        check().to_options().descr("Check a settings file and inventories").command("check");
    let inventory = inventory()
        .map(Command::Inventory)
        .to_options()
        .descr("Check, compare, apply and show the inventory")
        .command("inventory");
    let json = long("json").help("Print JSON instead of tables").switch();
    let status = construct!(Command::Status { settings(), json })
        .to_options()
        .descr("Show the leader and revision in force of each host, and the loaded models and adapters")
        .command("status");
    let request = positional("ID").help("Id of the request, as logged by the hosts");
    let logs =
        positional("LOG").help("Log files of the hosts; standard input if none are given").many();
    let explain = construct!(Command::Explain { request, logs })
        .to_options()
        .descr("Explain the outcome of one request, and its cause, from the logs of the hosts")
        .footer("Example: wagtailledge explain 9a873848108e184f east-*.log")
        .command("explain");
    let every = long("every")
        .help("Length of the windows that requests are counted in, in seconds; 10 by default")
        .argument("SECONDS")
        .fallback(DEFAULT_WINDOW);
    let logs =
        positional("LOG").help("Log files of the hosts; standard input if none are given").many();
    let causes = construct!(Command::Causes { every, logs })
        .to_options()
        .descr("Count how requests ended and why, from the logs of the hosts")
        .footer("Example: wagtailledge causes --every 60 east-*.log")
        .command("causes");
    construct!([serve, check, inventory, status, explain, causes])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Serves rarely used models within their deadlines, from an inventory kept in version control")
}

fn check() -> impl Parser<Command> {
    let settings = settings().optional();
    let inventories = positional("INVENTORY").help("Inventory file or deployment folder").many();
    construct!(Command::Check { settings, inventories })
}

fn edit() -> impl Parser<EditOptions> {
    let settings = settings();
    let base = long("base")
        .help("Inventory before the edit: only the changes from it to FILE are applied")
        .argument("FILE")
        .optional();
    let replace =
        long("replace").help("Replace the accepted inventory, including edits of others").switch();
    let file = positional("FILE").help("Inventory after the edit: a file or a deployment folder");
    construct!(EditOptions { settings, base, replace, file })
}

fn inventory() -> impl Parser<InventoryCommand> {
    let file = positional("FILE").help("Inventory file or deployment folder");
    let check = construct!(InventoryCommand::Check { file })
        .to_options()
        .descr("Check an inventory file")
        .command("check");
    let diff = edit()
        .map(InventoryCommand::Diff)
        .to_options()
        .descr("Show the changes that an edit would make, without applying it")
        .command("diff");
    let wait =
        long("wait").help("Wait until the new revision is in force on every live host").switch();
    let timeout = long("patience")
        .help("Time limit of --wait, such as 30s; 60s by default")
        .argument::<String>("SPAN")
        .parse(|text| TimeSpan::parse(&text))
        .fallback(TimeSpan(DEFAULT_WAIT_TIMEOUT));
    let edit = edit();
    let apply = construct!(InventoryCommand::Apply { wait, timeout, edit })
        .to_options()
        .descr("Merge an edit into the accepted inventory")
        .command("apply");
    let show = construct!(InventoryCommand::Show { settings() })
        .to_options()
        .descr("Show the accepted inventory")
        .command("show");
    let history = construct!(InventoryCommand::History { settings() })
        .to_options()
        .descr("List the latest accepted edits: revision, edit id, changed items")
        .command("history");
    construct!([check, diff, apply, show, history])
}
