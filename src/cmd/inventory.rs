//! `inventory`: checks, compares, applies and shows the inventory.

use std::path::Path;
use std::rc::Rc;

use wagtailledge_decisions::configuration::ConfigurationChange;
use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_inventory::InventoryDocument;
use wagtailledge_keyvalue::EtcdService;
use wagtailledge_keyvalue::HttpHostList;
use wagtailledge_operator::ConfigurationStore;
use wagtailledge_operator::accept::StoredConfiguration;
use wagtailledge_operator::fleet::seal_of;
use wagtailledge_operator::fleet::wait_until_in_force;
use wagtailledge_operator::merge::merge_edit;
use wagtailledge_operator::read_inventory;
use wagtailledge_settings::HostSettings;

use super::lines;
use super::load_settings;
use crate::cli::EditOptions;
use crate::cli::InventoryCommand;

/// Runs a subcommand of `inventory`.
pub fn run(command: InventoryCommand) -> Result<(), Vec<String>> {
    match command {
        InventoryCommand::Check { file } => super::check::run(None, &[file]),
        InventoryCommand::Diff(edit) => block_on_system(diff(edit)),
        InventoryCommand::Apply { edit, wait, timeout } => {
            block_on_system(apply(edit, wait.then_some(timeout.0)))
        }
        InventoryCommand::Show { settings } => block_on_system(show(settings)),
        InventoryCommand::History { settings } => block_on_system(history(settings)),
    }
}

fn block_on_system<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

fn configuration_store(settings: &HostSettings) -> ConfigurationStore {
    let platform = &settings.platform;
    ConfigurationStore::new(Rc::new(EtcdService::new(&platform.key_value, platform.timeout.0)))
}

async fn read_stored(store: &ConfigurationStore) -> Result<StoredConfiguration, Vec<String>> {
    store.read().await.map_err(|error| vec![error.to_string()])
}

/// Returns the items before the edit. An accepted inventory is edited without a base file only
/// with `--replace`, because a file that lacks somebody's newer edit would revert that edit.
fn base_items(edit: &EditOptions, stored: &StoredConfiguration) -> Result<ItemMap, Vec<String>> {
    if let Some(base) = &edit.base {
        return read_inventory(base).map(|document| to_items(&document)).map_err(lines);
    }
    if edit.replace || stored.version == 0 {
        return Ok(stored.items.clone());
    }
    Err(vec![format!(
        "{}: no base given while revision {} is accepted: give the inventory before the edit with \
         --base FILE, or replace the accepted inventory with --replace",
        edit.file.display(),
        stored.head.revision
    )])
}

fn print_change(change: &ConfigurationChange, current: &ItemMap) {
    let sign = match (&change.item, current.contains_key(&change.name)) {
        (None, _) => '-',
        (Some(_), true) => '~',
        (Some(_), false) => '+',
    };
    println!("{sign} {}", change.name);
}

async fn diff(edit: EditOptions) -> Result<(), Vec<String>> {
    let settings = load_settings(&edit.settings)?;
    let edited = to_items(&read_inventory(&edit.file).map_err(lines)?);
    let stored = read_stored(&configuration_store(&settings)).await?;
    let base = base_items(&edit, &stored)?;
    let changes = merge_edit(&base, &edited, &stored.items).map_err(lines)?;
    for change in &changes {
        print_change(change, &stored.items);
    }
    println!("{} changes relative to revision {}", changes.len(), stored.head.revision);
    Ok(())
}

async fn apply(edit: EditOptions, timeout: Option<std::time::Duration>) -> Result<(), Vec<String>> {
    let settings = load_settings(&edit.settings)?;
    let edited = to_items(&read_inventory(&edit.file).map_err(lines)?);
    let store = configuration_store(&settings);
    let base = base_items(&edit, &read_stored(&store).await?)?;
    let edit_id = ConfigurationStore::new_edit_id();
    let accepted = store
        .accept(&edit_id, &base, &edited)
        .await
        .map_err(|error| error.to_string().lines().map(str::to_owned).collect::<Vec<_>>())?;
    println!("revision {}: {} items changed", accepted.revision, accepted.items.len());
    match timeout {
        Some(timeout) => wait_for_hosts(&settings, accepted.revision, timeout).await,
        None => Ok(()),
    }
}

/// Waits until every live host has `revision` in force and prints the hosts that do.
async fn wait_for_hosts(
    settings: &HostSettings,
    revision: u64,
    timeout: std::time::Duration,
) -> Result<(), Vec<String>> {
    let platform = &settings.platform;
    let hosts = HttpHostList::new(&platform.host_list, platform.timeout.0);
    let seal = seal_of(&settings.security.shared_secret);
    let report = wait_until_in_force(&hosts, &seal, revision, timeout).await;
    let report = report.map_err(|error| vec![error])?;
    for host in &report.in_force {
        println!("{host}: revision {revision} in force");
    }
    if report.behind.is_empty() {
        return Ok(());
    }
    let describe = |host| {
        format!(
            "{host}: revision {revision} is not in force yet, or the host did not answer: see \
             `wagtailledge status`"
        )
    };
    Err(report.behind.iter().map(describe).collect())
}

async fn show(settings: impl AsRef<Path>) -> Result<(), Vec<String>> {
    let settings = load_settings(settings.as_ref())?;
    let stored = read_stored(&configuration_store(&settings)).await?;
    println!("# revision {}", stored.head.revision);
    let document = wagtailledge_decisions::configuration::to_document(&stored.items);
    print!("{}", shown_document(document).map_err(|error| vec![error.to_string()])?);
    Ok(())
}

/// The inventory as TOML, with the number of each account's keys in place of their digests. The digests
/// stay in the operators' own files; without them the text can't be applied by mistake.
fn shown_document(mut document: InventoryDocument) -> Result<String, toml::ser::Error> {
    let accounts = std::mem::take(&mut document.accounts);
    let mut text = toml::to_string_pretty(&document)?;
    for account in &accounts {
        let mut fields = toml::Table::try_from(account)?;
        fields.remove("keys");
        let fields = toml::to_string_pretty(&fields)?;
        let keys = account.keys.len();
        text.extend(["\n[[account]]\n", &format!("# {keys} keys, not shown\n"), &fields]);
    }
    Ok(text)
}

async fn history(settings: impl AsRef<Path>) -> Result<(), Vec<String>> {
    let settings = load_settings(settings.as_ref())?;
    let stored = read_stored(&configuration_store(&settings)).await?;
    for entry in &stored.head.history {
        println!("{} {} {}", entry.revision, entry.edit, entry.items.join(" "));
    }
    Ok(())
}
