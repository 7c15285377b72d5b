//! Stand-ins and checks of the third review. Built by `review/build-3.sh`, started by the scripts of the cases.

mod base;
mod http;
mod json;
mod length;
mod store;

use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        ["length", folder] => length::run(Path::new(folder)),
        ["length-engine", id, tokens] => length::run_engine(id, tokens),
        _ => {
            eprintln!("usage: rig length FOLDER");
            2
        }
    };
    exit(code);
}
