//! Runs one case of the review: `rig CASE ROOT FOLDER`. See `claim.txt` of each case.

mod base;
mod engine;
mod handover;
mod hang;
mod host;
mod lapse;
mod limit;
mod recover;
mod store;

use std::time::Duration;

use base::NOT_RUN;

/// Longest time that a case may take.
const LONGEST_RUN: Duration = Duration::from_secs(117);

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = words.as_slice() else {
        eprintln!("usage: rig CASE ROOT FOLDER");
        std::process::exit(NOT_RUN);
    };
    // A case that takes too long could not run.
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        host::kill_all();
        eprintln!("the case took longer than {LONGEST_RUN:?}");
        std::process::exit(NOT_RUN);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary =
        std::env::temp_dir().join(format!("wagtailledge-review-{}", std::process::id()));
    let temporary = temporary.display().to_string();
    let result =
        std::fs::create_dir_all(&temporary).map_err(|error| error.to_string()).and_then(|()| {
            let record = base::Record::create(&format!("{folder}/record.txt"))
                .map_err(|error| error.to_string())?;
            record.line(if trouble { "with the disruption" } else { "without the disruption" });
            let setup = base::Setup {
                root: root.clone(),
                temporary: temporary.clone(),
                trouble,
                record: record.clone(),
            };
            let result = match case.as_str() {
                "handover" => handover::run(&setup),
                "hang" => hang::run(&setup),
                "lapse" => lapse::run(&setup),
                "limit" => limit::run(&setup),
                "recover" => recover::run(&setup),
                other => Err(format!("no such case: {other}")),
            };
            let text = match &result {
                Ok(None) => "the rule held".to_owned(),
                Ok(Some(broken)) => format!("the rule was broken: {broken}"),
                Err(problem) => format!("the case could not run: {problem}"),
            };
            record.line(&text);
            println!("{text}");
            result
        });
    host::kill_all();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    std::process::exit(match result {
        Ok(None) => base::HELD,
        Ok(Some(_)) => base::BROKEN,
        Err(_) => NOT_RUN,
    });
}
