//! Quarantine of prompt parts that crash upstreams.
//!
//! A part of a prompt may crash every upstream that begins to answer a request with it. Hosts report
//! to the leader of their scope which parts an upstream had just begun to work on when it crashed,
//! and which parts they know to be sound. The leader finds what the crashes have in common and
//! publishes it, and all hosts refuse requests with it. See `docs/design/quarantine.md`.

mod crash_log;
mod judge;
mod message;
mod record;
mod rules;
mod sound;

pub use crash_log::CrashLog;
pub use crash_log::CrashRecord;
pub use crash_log::QUARANTINE_TIME;
pub use judge::CrashJudge;
pub use message::CrashReport;
pub use message::CrashRow;
pub use message::QuarantineRow;
pub use message::QuarantineTable;
pub use record::QUARANTINE_KEY;
pub use record::QuarantineRecord;
pub use rules::QuarantineRule;
pub use rules::QuarantineRules;
pub use rules::rule_name;
pub use sound::SoundParts;
