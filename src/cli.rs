//! The command line.

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
/// Longest wait of `inventory apply --wait`.
const APPLY_PATIENCE: Duration = Duration::from_secs(60);

/// What to do.
#[derive(Debug, Clone)]
pub enum Command {
    /// Run an entry host.
    Serve {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check settings and inventories.
    Check {
        /// Settings file.
        settings: Option<PathBuf>,
        /// Inventory files or deployment folders.
        inventories: Vec<PathBuf>,
    },
    /// Work on the inventory.
    Inventory(InventoryCommand),
    /// Tell the story of one request.
    Explain {
        /// Id of the request.
        request: String,
        /// Log files; standard input when there are none.
        logs: Vec<PathBuf>,
    },
    /// Show what is loaded where, who leads and what is in force.
    Status {
        /// Settings file.
        settings: PathBuf,
        /// Print JSON.
        json: bool,
    },
}

/// What to do with the inventory.
#[derive(Debug, Clone)]
pub enum InventoryCommand {
    /// Check a file.
    Check {
        /// Inventory file or deployment folder.
        file: PathBuf,
    },
    /// Show what an edit would change.
    Diff(EditOptions),
    /// Get an edit accepted.
    Apply {
        /// The edit.
        edit: EditOptions,
        /// Wait until it is in force everywhere.
        wait: bool,
        /// Longest wait.
        patience: TimeSpan,
    },
    /// Show the accepted inventory.
    Show {
        /// Settings file.
        settings: PathBuf,
    },
    /// Show the latest accepted edits.
    History {
        /// Settings file.
        settings: PathBuf,
    },
}

/// An edit: what it starts from and what it leads to.
#[derive(Debug, Clone)]
pub struct EditOptions {
    /// Settings file.
    pub settings: PathBuf,
    /// Inventory before the edit.
    pub base: Option<PathBuf>,
    /// The edit replaces whatever is accepted.
    pub replace: bool,
    /// Inventory after the edit.
    pub file: PathBuf,
}

/// Parses the command line; the error is the exit code after help or a usage message.
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
    let check = check().to_options().descr("Check settings and inventories").command("check");
    let inventory = inventory()
        .map(Command::Inventory)
        .to_options()
        .descr("Check, compare, apply and show the inventory")
        .command("inventory");
    let json = long("json").help("Print JSON").switch();
    let status = construct!(Command::Status { settings(), json })
        .to_options()
        .descr("Show what is loaded where, who leads, and the revision in force on each host")
        .command("status");
    let request = positional("ID").help("Id of the request");
    let logs = positional("LOG").help("Logs of the hosts; standard input without any").many();
    let explain = construct!(Command::Explain { request, logs })
        .to_options()
        .descr("Tell from the hosts' logs what became of one request, and why")
        .footer("Example: wagtailledge explain 9a873848108e184f east-*.log")
        .command("explain");
    construct!([serve, check, inventory, status, explain])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Serves rarely used models in time, from an inventory kept in version control")
}

fn check() -> impl Parser<Command> {
    let settings = settings().optional();
    let inventories = positional("INVENTORY").help("Inventory file or deployment folder").many();
    construct!(Command::Check { settings, inventories })
}

fn edit() -> impl Parser<EditOptions> {
    let settings = settings();
    let base = long("base").help("Inventory before the edit").argument("FILE").optional();
    let replace = long("replace").help("Replace whatever is accepted now").switch();
    let file = positional("FILE").help("Inventory file or deployment folder");
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
        .descr("Show what an edit would change")
        .command("diff");
    let wait = long("wait").help("Wait until it is in force on every live host").switch();
    let patience = long("patience")
        .help("Longest wait, such as 30s")
        .argument::<String>("SPAN")
        .parse(|text| TimeSpan::parse(&text))
        .fallback(TimeSpan(APPLY_PATIENCE));
    let edit = edit();
    let apply = construct!(InventoryCommand::Apply { wait, patience, edit })
        .to_options()
        .descr("Get an edit accepted")
        .command("apply");
    let show = construct!(InventoryCommand::Show { settings() })
        .to_options()
        .descr("Show the accepted inventory")
        .command("show");
    let history = construct!(InventoryCommand::History { settings() })
        .to_options()
        .descr("Show the latest accepted edits")
        .command("history");
    construct!([check, diff, apply, show, history])
}
