//! Script actions: requests, faults and edits, with their random generation and shrinking.

use quickcheck::Arbitrary;
use quickcheck::Gen;

/// One step of a script. An index is taken modulo the number of items that it selects from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FuzzAction {
    /// Advances time by this many milliseconds.
    Advance(u16),
    /// A caller requests a model or adapter.
    AskModel {
        /// Index of the entry host.
        host: u8,
        /// Index of the model or adapter.
        asset: u8,
        /// Time from request to deadline: this value plus one, in units of 100 ms.
        deadline: u8,
    },
    /// Callers at every entry host request the same asset at once.
    Burst {
        /// Index of the model or adapter.
        asset: u8,
    },
    /// A caller makes a non-idempotent service call.
    CallService {
        /// Index of the entry host.
        host: u8,
        /// Number of the idempotency key; 0 for none.
        key: u8,
        /// Time from call to deadline: half of this value plus one, in units of 100 ms.
        deadline: u8,
    },
    /// A caller with an open call disconnects.
    Leave(u8),
    /// Kills the process in a slot.
    Kill(u8),
    /// Kills the holder of a zone's lease and its successors at once; the value selects the zone, and which of
    /// them start again a second later, and where.
    LoseLeaders(u8),
    /// Starts a process in an empty slot.
    Start(u8),
    /// Freezes a process: slot, and duration, which is the value plus one in units of 100 ms.
    Pause(u8, u8),
    /// Starts the drain of a process.
    Drain(u8),
    /// Applies a fault to the leader of a zone: zone, and number that selects the fault.
    StrikeLeader(u8, u8),
    /// Sends a burst for an asset, then applies a fault to the leader of the asset's home zone.
    BurstAndStrike {
        /// Index of the model or adapter.
        asset: u8,
        /// Number that selects the fault of the leader.
        how: u8,
        /// Time between burst and fault, in milliseconds.
        after: u8,
    },
    /// Cuts the network between two zones.
    CutZones(u8, u8),
    /// Cuts the network between two entry hosts.
    CutHosts(u8, u8),
    /// Cuts the network between an entry host and an upstream.
    CutEngine(u8, u8),
    /// Cuts an entry host off from the key-value service.
    CutStore(u8),
    /// Makes the key-value service unreachable for all hosts.
    StoreOutage,
    /// The key-value service comes back from a copy that is some seconds old: number that selects the
    /// faults around it, and one that selects times.
    StoreReturns(u8, u8),
    /// Repairs all cuts and ends the outage of the key-value service.
    Heal,
    /// Restarts an engine, which loses its resident assets.
    RestartEngine(u8),
    /// Marks an engine as leaving, or as live again.
    ToggleEngine(u8),
    /// Makes an engine name a limit in its answers, or none: engine, and number that selects the limit
    /// and the share of answers that leave it unnamed.
    LimitEngine(u8, u8),
    /// Slows loads down by a factor of 1 to 8: one more than the value modulo 8.
    SlowStore(u8),
    /// Sets message loss, duplication and delay.
    Network {
        /// Messages lost, per thousand.
        loss: u8,
        /// Messages delivered twice, per thousand.
        twice: u8,
        /// Longest extra delay, in units of 10 ms.
        delay: u8,
    },
    /// Commits an inventory edit; the value selects the variant.
    Edit(u8),
}

impl Arbitrary for FuzzAction {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b, c) = (u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 64 {
            0..=17 => Self::Advance(u16::from(a) * 4),
            18..=25 => Self::AskModel { host: a, asset: b, deadline: c },
            26..=28 => Self::Burst { asset: a },
            29..=37 => Self::CallService { host: a, key: b % 8, deadline: c },
            38 => Self::Leave(a),
            39 => Self::Kill(a),
            40 => Self::StrikeLeader(a, b),
            41 => Self::BurstAndStrike { asset: a, how: b, after: c },
            42..=43 => Self::Start(a),
            44..=45 => Self::Pause(a, b),
            46 => Self::Drain(a),
            47 => Self::CutZones(a, b),
            48..=49 => Self::CutHosts(a, b),
            50 => Self::CutEngine(a, b),
            51 => Self::CutStore(a),
            52 => Self::StoreOutage,
            53..=56 => Self::Heal,
            57 => Self::RestartEngine(a),
            58 => Self::ToggleEngine(a),
            59 => Self::SlowStore(a),
            60 => Self::Network { loss: a, twice: b, delay: c },
            61 => Self::LimitEngine(a, b),
            _ => Self::Edit(a),
        }
    }
}

/// Actions, and the seed of the random choices that are made while they run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FuzzScript {
    /// Seed of delays, losses, clock drifts and the reducers' random choices.
    pub seed: u64,
    /// Steps in the order in which they are applied.
    pub actions: Vec<FuzzAction>,
}

impl FuzzScript {
    /// Whether the key-value service can come back from a copy in the world of this script.
    pub fn returns_store(&self) -> bool {
        self.seed % 16 == 12
    }
}

impl Arbitrary for FuzzScript {
    fn arbitrary(g: &mut Gen) -> Self {
        let length = g.size();
        let mut actions: Vec<FuzzAction> = (0..length).map(|_| FuzzAction::arbitrary(g)).collect();
        let seed = u64::arbitrary(g);
        // Scripts of other seeds stay as they were, so that listed seeds show what they showed.
        if seed % 8 == 7 {
            for action in &mut actions {
                if let FuzzAction::Kill(choice) = *action {
                    *action = FuzzAction::LoseLeaders(choice);
                }
            }
        }
        let mut script = Self { seed, actions };
        if script.returns_store() {
            for action in &mut script.actions {
                match action {
                    FuzzAction::CutEngine(a, b) | FuzzAction::LimitEngine(a, b) => {
                        *action = FuzzAction::StoreReturns(*a, *b);
                    }
                    // Where the store can lose claims of keys, no caller has any.
                    FuzzAction::CallService { key, .. } => *key = 0,
                    _ => {}
                }
            }
        }
        script
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        let actions = self.actions.clone();
        let length = actions.len();
        // Each candidate leaves out one block of consecutive actions, first half of the script and
        // then ever smaller blocks. This keeps the number of candidates small.
        let sizes = std::iter::successors(Some(length / 2), |size| Some(size / 2));
        let sizes = sizes.take_while(|size| *size > 0);
        let cuts = sizes.flat_map(move |size| {
            (0..length).step_by(size).map(move |start| (start, (start + size).min(length)))
        });
        Box::new(cuts.map(move |(start, end)| {
            let mut kept = actions[..start].to_vec();
            kept.extend_from_slice(&actions[end..]);
            Self { seed, actions: kept }
        }))
    }
}
