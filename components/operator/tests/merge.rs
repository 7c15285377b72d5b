//! Merging of concurrent edits.

use std::time::Duration;

use wagtailledge_decisions::configuration::ItemMap;
use wagtailledge_decisions::configuration::to_items;
use wagtailledge_inventory::InventoryDocument;
use wagtailledge_inventory::TimeSpan;
use wagtailledge_inventory::document::ClassRule;
use wagtailledge_operator::merge::apply_changes;
use wagtailledge_operator::merge::merge_edit;

fn items(classes: &[(&str, u8)]) -> ItemMap {
    let class = |(name, rank): &(&str, u8)| ClassRule {
        name: (*name).to_owned(),
        rank: *rank,
        deadline: TimeSpan(Duration::from_secs(1)),
    };
    let classes = classes.iter().map(class).collect();
    to_items(&InventoryDocument { classes, ..InventoryDocument::default() })
}

#[test]
fn can_merge_edits_of_different_items() {
    let base = items(&[("a", 1), ("b", 1)]);
    let mine = items(&[("a", 2), ("b", 1)]);
    let mut theirs = items(&[("a", 1), ("b", 3), ("c", 1)]);
    let changes = merge_edit(&base, &mine, &theirs).unwrap();
    apply_changes(&mut theirs, &changes);
    assert_eq!(theirs, items(&[("a", 2), ("b", 3), ("c", 1)]));
}

#[test]
fn can_reject_edits_of_the_same_item_by_name() {
    let base = items(&[("a", 1), ("b", 1)]);
    let conflicts =
        merge_edit(&base, &items(&[("a", 2)]), &items(&[("a", 3), ("b", 4)])).unwrap_err();
    let names: Vec<&str> = conflicts.iter().map(|conflict| conflict.item.as_str()).collect();
    assert_eq!(names, ["class/b", "class/a"]);
}

#[test]
fn can_apply_the_same_edit_twice() {
    let base = items(&[("a", 1)]);
    let edited = items(&[("a", 2)]);
    assert_eq!(merge_edit(&base, &edited, &edited).unwrap(), []);
}
