//! Measures how costs grow with the size of a deployment, for `docs/CAPACITY.md`: the time per kind
//! of event, the bytes per kind of message and the memory, each at three sizes.

mod deployment;
mod measure;

use deployment::DeploymentSize;
use measure::measure_size;

/// Measured sizes: a tenth, a third and all of the target deployment.
const SIZES: [DeploymentSize; 3] = [
    DeploymentSize { label: "tenth", engines: 1_200, adapters: 1_600, hosts: 170 },
    DeploymentSize { label: "third", engines: 4_000, adapters: 5_300, hosts: 567 },
    DeploymentSize { label: "whole", engines: 12_000, adapters: 16_000, hosts: 1_700 },
];

fn main() {
    println!("| size | what | mean | p50 | p99 | unit |");
    println!("|---|---|---|---|---|---|");
    for size in &SIZES {
        for row in measure_size(size) {
            let (name, unit) = (row.name, row.unit);
            println!(
                "| {} | {name} | {} | {} | {} | {unit} |",
                size.label, row.mean, row.p50, row.p99
            );
        }
    }
}
