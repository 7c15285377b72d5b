//! Memory for the bodies of requests.

use log::warn;
use wagtailledge_settings::HostSettings;

/// Most memory for the bodies of requests, in bytes, unless a setting says otherwise.
const MAX_BODY_MEMORY: usize = 128 << 20;
/// Divisor of the machine's memory. The rest is for answers, connections and the process itself.
const MEMORY_DIVISOR: usize = 4;

/// Memory for the bodies of all requests that this host holds, in bytes.
pub(crate) fn body_memory(settings: &HostSettings) -> usize {
    if let Some(size) = settings.limits.bodies {
        return size.0 as usize;
    }
    let Some(machine) =
        std::fs::read_to_string("/proc/meminfo").ok().as_deref().and_then(total_memory)
    else {
        warn!(
            "/proc/meminfo does not tell the machine's memory, {MAX_BODY_MEMORY} bytes for bodies"
        );
        return MAX_BODY_MEMORY;
    };
    (machine / MEMORY_DIVISOR).min(MAX_BODY_MEMORY)
}

/// Total memory that a text like `/proc/meminfo` names, in bytes.
fn total_memory(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: usize = line.split_whitespace().next()?.parse().ok()?;
    kibibytes.checked_mul(1 << 10)
}

#[cfg(test)]
mod tests {
    use super::total_memory;

    #[test]
    fn can_read_the_memory_of_the_machine() {
        assert_eq!(
            total_memory("MemTotal:         266240 kB\nMemFree: 1 kB\n"),
            Some(266_240 << 10)
        );
        for text in ["", "MemFree: 1 kB", "MemTotal: much", "MemTotal:"] {
            assert_eq!(total_memory(text), None, "{text}");
        }
    }
}
