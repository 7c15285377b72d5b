//! The example deployments of the repository are valid and have their documented sizes.

use std::path::Path;

use wagtailledge_operator::read_inventory;

#[test]
fn can_read_example_deployments() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments");
    let sizes = [("hollis-creek", 4, 45, 65, 12, 4), ("tesfaye", 3, 25, 75, 12, 3)];
    for (name, zones, models, adapters, engines, instances) in sizes {
        let document = read_inventory(&root.join(name)).unwrap();
        let mut found_zones: Vec<&str> =
            document.engines.iter().map(|engine| engine.zone.as_str()).collect();
        found_zones.sort_unstable();
        found_zones.dedup();
        let instance_count: usize =
            document.services.iter().map(|service| service.instances.len()).sum();
        assert_eq!(
            (found_zones.len(), document.models.len(), document.adapters.len()),
            (zones, models, adapters)
        );
        assert_eq!((document.engines.len(), instance_count), (engines, instances));
    }
}
