//! Accounts on the product's own interface: the completion API, and what `inventory` shows of them.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use serde_json::json;
use wagtailledge_inventory::KeyDigest;
use wagtailledge_inventory::document::AccountEntry;
use wagtailledge_operator::read_inventory;
use wagtailledge_standins::client::post;
use wagtailledge_standins::stack::EngineTiming;
use wagtailledge_standins::stack::LocalStack;

/// Upper bound for each wait; a passing test needs less.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Key of the account `anna`.
const KEY: &str = "key-of-anna-7f3a";
/// Key of the account `bert`.
const OTHER: &str = "key-of-bert-91c0";

fn account(name: &str, key: &str, rank: Option<u8>) -> AccountEntry {
    let keys = vec![KeyDigest::of(key.as_bytes())];
    AccountEntry { name: name.to_owned(), keys, rank, quota: None }
}

/// Digest of a key as a TOML text.
fn digest_of(key: &str) -> String {
    serde_json::to_string(&KeyDigest::of(key.as_bytes())).unwrap()
}

/// Runs the command on a stack in the background, as it blocks; returns exit code and output.
async fn run_command(arguments: Vec<String>) -> (Option<i32>, String) {
    let output = actix_rt::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_wagtailledge")).args(&arguments).output().unwrap()
    });
    let output = output.await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn can_require_keys_on_the_own_interface() {
    actix_rt::System::new().block_on(async {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("deployments/local");
        let mut document = read_inventory(&root).unwrap();
        document.accounts = vec![account("anna", KEY, Some(3)), account("bert", OTHER, None)];
        let timing = EngineTiming {
            load_time: Duration::from_millis(100),
            token_time: Duration::from_millis(3),
        };
        let stack = LocalStack::start(document, timing, &[("east-1", "east")]).await;
        assert!(stack.wait_until_ready(WAIT_LIMIT).await, "the zone has no leader");
        let address = stack.entry_hosts[0].caller_address.to_string();
        let body = json!({ "model": "fan-advice", "prompt": "hello" });
        let bearer = format!("Bearer {KEY}");
        let token = format!("token {KEY}");
        for (value, status) in
            [(&*bearer, 200), (&*token, 200), ("Bearer other", 401), (KEY, 401), ("", 401)]
        {
            let headers = [("authorization", value)];
            let outcome = post(&address, "/v1/completions", &headers, &body).await;
            assert_eq!(outcome.status, status, "{value}: {}", outcome.body);
            assert!(!outcome.body.contains(KEY), "{}", outcome.body);
            let client = awc::Client::default();
            let models = client.get(format!("http://{address}/v1/models"));
            let models = models.insert_header(("authorization", value)).send().await.unwrap();
            assert_eq!(models.status().as_u16(), status, "the names of models, {value}");
            let challenge = models.headers().get("www-authenticate");
            assert_eq!(challenge.is_some(), status == 401, "{value}");
        }
        let unknown = json!({ "model": "unknown", "prompt": "hello" });
        assert_eq!(post(&address, "/v1/completions", &[], &unknown).await.status, 404);

        let command = json!({ "house": 7 });
        for (key, run) in [(KEY, 1), (KEY, 1), (OTHER, 2)] {
            let bearer = format!("Bearer {key}");
            let headers = [("idempotency-key", "drop-7"), ("authorization", bearer.as_str())];
            let path = "/services/house-control/drop";
            let outcome = post(&address, path, &headers, &command).await;
            assert_eq!(outcome.json()["run"], json!(run), "of another account: {outcome:?}");
        }

        let folder = std::env::temp_dir().join(format!("wagtailledge-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let write = |name: &str, text: &str| {
            let path = folder.join(name);
            std::fs::write(&path, text).unwrap();
            path.display().to_string()
        };
        let settings = write("settings.toml", &stack.settings_text("east-9", "east"));
        let digest = digest_of(KEY);
        let show = ["inventory", "show", "--settings", &settings].map(str::to_owned);
        let (code, shown) = run_command(show.to_vec()).await;
        assert_eq!(code, Some(0), "{shown}");
        assert!(shown.contains("[[account]]\n# 1 keys, not shown\nname = \"anna\""), "{shown}");
        let shown = write("shown.toml", &shown);
        let (code, problem) =
            run_command(["inventory", "check", &shown].map(str::to_owned).to_vec()).await;
        assert!(code == Some(1) && problem.contains("missing field `keys`"), "{problem}");
        let text = std::fs::read_to_string(&shown).unwrap().replace("# 1 keys, not shown", "");
        // A key is used twice at first.
        let text = text.replace("name = \"anna\"", &format!("name = \"anna\"\nkeys = [{digest}]"));
        let (bert, other) = ("name = \"bert\"", digest_of(OTHER));
        let twice = text.replace(bert, &format!("{bert}\nkeys = [{other}, {digest}]"));
        let edited = write("edited.toml", &twice);
        let (code, problem) =
            run_command(["inventory", "check", &edited].map(str::to_owned).to_vec()).await;
        assert!(code == Some(1) && problem.contains("account \"bert\": key #2"), "{problem}");
        let text = text.replace(bert, &format!("{bert}\nkeys = [{other}]"));
        let edited = write("edited.toml", &text);
        let diff = ["inventory", "diff", "--settings", &settings, "--replace", &edited];
        let (code, changes) = run_command(diff.map(str::to_owned).to_vec()).await;
        assert!(code == Some(0) && changes.contains("0 changes"), "{changes}");
        let edited = write("edited.toml", &text.replace("rank = 3", "rank = 4"));
        let diff = ["inventory", "diff", "--settings", &settings, "--replace", &edited];
        let (_, changes) = run_command(diff.map(str::to_owned).to_vec()).await;
        assert!(changes.contains("~ account/anna"), "{changes}");
        for text in [std::fs::read_to_string(&shown).unwrap(), changes, problem] {
            assert!(!text.contains(KEY) && !text.contains(digest.trim_matches('"')), "{text}");
        }
        std::fs::remove_dir_all(&folder).unwrap();
    });
}
