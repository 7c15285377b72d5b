//! Inventory of the simulated deployment.

use std::time::Duration;

use wagtailledge_inventory::ByteSize;
use wagtailledge_inventory::InventoryDocument;
use wagtailledge_inventory::TimeSpan;
use wagtailledge_inventory::document::AdapterEntry;
use wagtailledge_inventory::document::ClassRule;
use wagtailledge_inventory::document::EngineEntry;
use wagtailledge_inventory::document::InstanceEntry;
use wagtailledge_inventory::document::LoadTimes;
use wagtailledge_inventory::document::ModelEntry;
use wagtailledge_inventory::document::RuleSet;
use wagtailledge_inventory::document::ServiceEntry;
use wagtailledge_inventory::document::VersionState;

/// Availability zones of the simulated deployment.
pub const ZONES: [&str; 4] = ["north", "mid", "south", "far"];
/// Number of entry hosts in each zone.
pub const HOSTS_PER_ZONE: usize = 4;
/// Number of engines in each zone; those with odd numbers ignore fencing tokens.
pub const ENGINES_PER_ZONE: usize = 2;
/// Models and adapters that callers request.
pub const ASSETS: [&str; 6] = ["m0", "m1", "m2", "m3", "a0", "a1"];
/// Memory of each engine, in bytes.
pub const ENGINE_MEMORY: u64 = 100;
/// Edit that removes nothing.
pub const FULL_EDIT: u8 = 1;
/// Name of the only plain service.
pub const SERVICE: &str = "app";

/// Builds the inventory. `edit` varies only keep-alive, the adapters' class and the floor of one
/// model, so that the limits that the oracle checks are the same for every edit.
pub fn build_inventory(edit: u8) -> InventoryDocument {
    let mut engines = Vec::new();
    let mut instances = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        for number in 0..ENGINES_PER_ZONE {
            engines.push(EngineEntry {
                name: format!("{zone}-llm-{number}"),
                zone: (*zone).to_owned(),
                address: format!("10.0.{index}.{number}:80"),
                accelerators: 1,
                memory: ByteSize(ENGINE_MEMORY),
                slots: 4,
                checks_tokens: number % 2 == 0,
                service: None,
            });
        }
        instances.push(InstanceEntry {
            name: format!("{zone}-app"),
            zone: (*zone).to_owned(),
            address: format!("10.1.{index}.0:80"),
            slots: 4,
        });
    }
    let model = |name: &str, size: u64, floor: u16| ModelEntry {
        name: name.to_owned(),
        version: 1,
        state: VersionState::Pinned,
        size: ByteSize(size),
        class: "alarm".to_owned(),
        service: None,
        loads: LoadTimes::default(),
        floor,
        cap: 1 + u16::from(size < 50),
    };
    let adapter = |name: &str, base: &str| AdapterEntry {
        name: name.to_owned(),
        base: base.to_owned(),
        size: ByteSize(5),
        class: if edit.is_multiple_of(2) { "alarm" } else { "summary" }.to_owned(),
    };
    let class = |name: &str, rank: u8| ClassRule {
        name: name.to_owned(),
        rank,
        deadline: TimeSpan(Duration::from_secs(10)),
    };
    InventoryDocument {
        rules: RuleSet {
            keep_alive: TimeSpan(Duration::from_secs(2 + u64::from(edit % 8))),
            expected_load: TimeSpan(Duration::from_secs(1)),
            store_loads_per_second: 12,
            store_concurrent_loads: 12,
            ..RuleSet::default()
        },
        classes: vec![class("alarm", 0), class("summary", 5)],
        models: vec![
            model("m0", 60, 0),
            model("m1", 70, 0),
            model("m2", 40, 0),
            model("m3", 30, u16::from(edit.is_multiple_of(3))),
        ],
        adapters: vec![adapter("a0", "m0"), adapter("a1", "m2")],
        engines,
        services: vec![ServiceEntry {
            name: SERVICE.to_owned(),
            class: "alarm".to_owned(),
            idempotent: Vec::new(),
            instances,
            pool: None,
        }],
        routes: Vec::new(),
        accounts: Vec::new(),
    }
}

/// The same inventory without the models, adapters and the service that the high bits of `edit`
/// select.
pub fn build_reduced_inventory(edit: u8) -> InventoryDocument {
    let mut document = build_inventory(edit);
    let removes = |bit: u8| edit & (1 << bit) != 0;
    for (bit, model, adapter) in [(3, "m0", "a0"), (4, "m2", "a1")] {
        document.models.retain(|entry| !removes(bit) || entry.name != model);
        document.adapters.retain(|entry| !removes(bit) || entry.name != adapter);
    }
    document.models.retain(|entry| !removes(5) || entry.name != "m3");
    document.adapters.retain(|entry| !removes(6) || entry.name != "a1");
    if removes(7) {
        document.services.clear();
    }
    document
}
