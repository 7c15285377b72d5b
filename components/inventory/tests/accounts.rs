//! Accounts in the inventory: their faults, their stable keys, and that no key is shown.

use wagtailledge_inventory::InventoryCatalog;
use wagtailledge_inventory::InventoryDocument;
use wagtailledge_inventory::KeyDigest;
use wagtailledge_inventory::catalog::QuotaRecord;
use wagtailledge_inventory::document::AccountEntry;
use wagtailledge_inventory::document::QuotaUnit;
use wagtailledge_inventory::item::to_document;
use wagtailledge_inventory::item::to_items;
use wagtailledge_inventory::parse::parse_inventory;

/// SHA-256 of `abc`, from its standard.
const ABC: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

/// Two accounts, of which each case breaks one in one place.
const GOOD: &str = r#"
[[account]]
name = "north"
keys = ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]
rank = 2
unit = "tokens"
rate = 29000
burst = 58000
undeclared = 700

[[account]]
name = "south"
keys = []
"#;

fn account(name: &str, keys: &[&str]) -> AccountEntry {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    AccountEntry { name: name.to_owned(), keys, rank: None, quota: None }
}

#[test]
fn can_parse_accounts_and_write_them_back() {
    let document = parse_inventory("f", GOOD).unwrap();
    assert_eq!(document.accounts[0].keys, [KeyDigest::of(b"abc")]);
    let items = to_items(&document);
    assert_eq!(to_document(&items), document);
    let text = serde_json::to_string(&items).unwrap();
    assert_eq!(
        serde_json::from_str::<wagtailledge_inventory::item::ItemMap>(&text).unwrap(),
        items
    );
    assert!(!format!("{document:?}").contains("ba78"), "a digest is shown");
}

#[test]
fn can_name_the_account_of_a_fault_without_its_key() {
    let second = format!("\"{ABC}\"");
    for (old, new, problem) in [
        ("\"north\"", "\"\"", "name must be"),
        ("\"south\"", "\"north\"", "name is used twice"),
        ("keys = []", "keys = [\"secret-4711\"]", "64 hexadecimal digits"),
        ("keys = []", "keys = \"secret-4711\"", "64 hexadecimal digits"),
        ("keys = []", "keys = [4711]", "64 hexadecimal digits"),
        ("keys = []", &format!("keys = [{second}]"), "key #1 also belongs to account \"north\""),
        ("keys = []\n", "", "missing field `keys`"),
        ("burst = 58000\n", "", "rate and burst must be given together"),
        ("keys = []", "keys = []\nunit = \"tokens\"", "need a rate and a burst"),
        ("\"tokens\"", "\"bytes\"", "unknown variant"),
        ("undeclared = 700", "undeclared = -1", "expected u64"),
    ] {
        let faults = parse_inventory("f", &GOOD.replacen(old, new, 1)).unwrap_err();
        let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert!(texts.iter().all(|text| text.contains("account \"")), "{texts:?}");
        assert!(texts.iter().any(|text| text.contains(problem)), "{new}: {texts:?}");
        assert!(!texts.iter().any(|text| text.contains("4711") || text.contains(ABC)), "{texts:?}");
    }
}

/// Hosts of earlier builds reject unknown fields, and digests of the configuration must be the same.
#[test]
fn can_write_items_without_accounts_as_before() {
    let route = "[[route]]\nname = \"r\"\nhost = \"h\"\nprefix = \"/\"\nkind = \"idempotent\"\n\
                 timeout = \"1s\"\nobjective = \"1s\"\nrank = 1\nattempts = 1\n\
                 to = [{ service = \"s\", weight = 1 }]\n\
                 [[service]]\nname = \"s\"\nclass = \"c\"\n\
                 [[service.instance]]\nname = \"i\"\nzone = \"z\"\naddress = \"127.0.0.1:1\"\n\
                 [[class]]\nname = \"c\"\nrank = 1\ndeadline = \"1s\"\n";
    let document = parse_inventory("f", route).unwrap();
    let text = serde_json::to_string(&document).unwrap();
    let items = serde_json::to_string(&to_items(&document)).unwrap();
    for name in ["keys_required", "public", "account"] {
        assert!(!text.contains(name) && !items.contains(name), "{name}: {text}");
    }
}

#[test]
fn can_keep_the_key_of_an_account_while_it_is_configured() {
    let mut catalog = InventoryCatalog::default();
    assert!(!catalog.has_accounts());
    let mut revision = 0;
    let mut replace = |catalog: &mut InventoryCatalog, accounts: &[AccountEntry]| {
        revision += 1;
        let document =
            InventoryDocument { accounts: accounts.to_vec(), ..InventoryDocument::default() };
        catalog.replace(revision, &document);
    };
    replace(&mut catalog, &[account("north", &["n"]), account("south", &["s", "n"])]);
    let north = catalog.account_named("north").unwrap();
    let south = catalog.account_of(&KeyDigest::of(b"s")).unwrap();
    assert_eq!(catalog.account_of(&KeyDigest::of(b"n")), Some(north), "the first of two accounts");
    replace(&mut catalog, &[account("east", &["e"]), account("north", &["n2"])]);
    assert_eq!(catalog.account_of(&KeyDigest::of(b"n2")), Some(north));
    assert_eq!(catalog.account_of(&KeyDigest::of(b"n")), None, "a removed key");
    assert!(!catalog.accounts.contains_key(south));
    replace(&mut catalog, &[account("south", &["s"])]);
    let returned = catalog.account_named("south").unwrap();
    assert!(returned != south && returned != north, "the key of a removed account is used again");
    replace(&mut catalog, &[]);
    assert!(!catalog.has_accounts() && catalog.account_of(&KeyDigest::of(b"s")).is_none());
    let quota = parse_inventory("f", GOOD).unwrap();
    catalog.replace(9, &quota);
    let record = &catalog.accounts[catalog.account_named("north").unwrap()];
    let unit = QuotaUnit::Tokens;
    let quota = QuotaRecord { unit, rate: 29_000, burst: 58_000, undeclared: 700 };
    assert_eq!((record.rank, record.quota), (Some(2), Some(quota)));
}
