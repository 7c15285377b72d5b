//! `inventory`: checks, compares, applies and shows the inventory.

use std::path::Path;
use std::rc::Rc;

use wagtailledge_decisions::configuration::ConfigurationChange;
use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_keyvalue::EtcdService;
use wagtailledge_keyvalue::HttpHostList;
use wagtailledge_operator::ConfigurationStore;
use wagtailledge_operator::accept::StoredConfiguration;
use wagtailledge_operator::fleet::seal_of;
use wagtailledge_operator::fleet::wait_in_force;
use wagtailledge_operator::merge::merge_edit;
use wagtailledge_operator::read_inventory;
use wagtailledge_settings::HostSettings;

use super::lines;
use super::load_settings;
use crate::cli::EditOptions;
use crate::cli::InventoryCommand;

/// Carries out an inventory command.
pub fn run(command: InventoryCommand) -> Result<(), Vec<String>> {
    match command {
        InventoryCommand::Check { file } => super::check::run(None, &[file]),
        InventoryCommand::Diff(edit) => on_system(diff(edit)),
        InventoryCommand::Apply { edit, wait, patience } => {
            on_system(apply(edit, wait.then_some(patience.0)))
        }
        InventoryCommand::Show { settings } => on_system(show(settings)),
        InventoryCommand::History { settings } => on_system(history(settings)),
    }
}

fn on_system<T>(work: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(work)
}

fn store_of(settings: &HostSettings) -> ConfigurationStore {
    let platform = &settings.platform;
    ConfigurationStore::new(Rc::new(EtcdService::new(&platform.key_value, platform.timeout.0)))
}

async fn read_stored(store: &ConfigurationStore) -> Result<StoredConfiguration, Vec<String>> {
    store.read().await.map_err(|error| vec![error.to_string()])
}

/// The items an edit starts from. Without a base, whatever is accepted may be replaced only on
/// demand: a file that lacks somebody's newer edit would take it back.
fn base_items(edit: &EditOptions, stored: &StoredConfiguration) -> Result<ItemMap, Vec<String>> {
    if let Some(base) = &edit.base {
        return read_inventory(base).map(|document| to_items(&document)).map_err(lines);
    }
    if edit.replace || stored.version == 0 {
        return Ok(stored.items.clone());
    }
    Err(vec![format!(
        "{}: name --base FILE (the inventory before the edit), or --replace to replace revision {}",
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
    let stored = read_stored(&store_of(&settings)).await?;
    let base = base_items(&edit, &stored)?;
    let changes = merge_edit(&base, &edited, &stored.items).map_err(lines)?;
    for change in &changes {
        print_change(change, &stored.items);
    }
    println!("{} changes to revision {}", changes.len(), stored.head.revision);
    Ok(())
}

async fn apply(
    edit: EditOptions,
    patience: Option<std::time::Duration>,
) -> Result<(), Vec<String>> {
    let settings = load_settings(&edit.settings)?;
    let edited = to_items(&read_inventory(&edit.file).map_err(lines)?);
    let store = store_of(&settings);
    let base = base_items(&edit, &read_stored(&store).await?)?;
    let name = ConfigurationStore::new_edit_name();
    let accepted = store
        .accept(&name, &base, &edited)
        .await
        .map_err(|error| error.to_string().lines().map(str::to_owned).collect::<Vec<_>>())?;
    println!("revision {}: {} items changed", accepted.revision, accepted.items.len());
    match patience {
        Some(patience) => wait(&settings, accepted.revision, patience).await,
        None => Ok(()),
    }
}

async fn wait(
    settings: &HostSettings,
    revision: u64,
    patience: std::time::Duration,
) -> Result<(), Vec<String>> {
    let platform = &settings.platform;
    let hosts = HttpHostList::new(&platform.host_list, platform.timeout.0);
    let seal = seal_of(&settings.security.shared_secret);
    let report = wait_in_force(&hosts, &seal, revision, patience).await;
    let report = report.map_err(|error| vec![error])?;
    for host in &report.in_force {
        println!("{host}: revision {revision} in force");
    }
    if report.behind.is_empty() {
        return Ok(());
    }
    Err(report.behind.iter().map(|host| format!("{host}: not in force yet")).collect())
}

async fn show(settings: impl AsRef<Path>) -> Result<(), Vec<String>> {
    let settings = load_settings(settings.as_ref())?;
    let stored = read_stored(&store_of(&settings)).await?;
    println!("# revision {}", stored.head.revision);
    let document = wagtailledge_decisions::configuration::to_document(&stored.items);
    let text = toml::to_string_pretty(&document).map_err(|error| vec![error.to_string()])?;
    print!("{text}");
    Ok(())
}

async fn history(settings: impl AsRef<Path>) -> Result<(), Vec<String>> {
    let settings = load_settings(settings.as_ref())?;
    let stored = read_stored(&store_of(&settings)).await?;
    for entry in &stored.head.history {
        println!("{} {} {}", entry.revision, entry.edit, entry.items.join(" "));
    }
    Ok(())
}
