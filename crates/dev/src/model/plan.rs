//! What happens in a run: the size of the fleet and its faults, drawn from a seed.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use snipeusher::time::Time;

/// Sizes of fleets that are drawn. Small ones come most often, since a step of theirs costs least.
const SIZES: [usize; 8] = [1, 2, 4, 7, 9, 12, 36, 70];
/// Seeds that the settings of a router name.
pub(super) const SEEDS: usize = 3;
/// Time before the first fault, in which the fleet becomes steady.
pub(super) const RUN_IN_MS: u64 = 12_000;
/// Time in which faults begin.
const FAULTS_MS: u64 = 14_000;
/// Time after the last fault begins, in which a stable fleet has to agree.
const RUN_OUT_MS: u64 = 20_000;
/// Of every hundred routers, how many read the store at most in a run in which all readers are killed.
/// Beyond that most keepers of what routers have spent are lost with them, which no router can know.
const READERS_PERCENT_MAX: usize = 60;
/// Readers of one zone.
const READERS_PER_ZONE: usize = 2;
/// Upstreams at the start.
pub(super) const UPSTREAMS: usize = 8;

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Fault {
    /// The process of a router is killed and starts again.
    Kill {
        /// Index of the router.
        router: usize,
        /// Milliseconds until it starts.
        down_ms: u64,
    },
    /// The host of a router loses power for good.
    Lose {
        /// Index of the router.
        router: usize,
    },
    /// All readers of the store are killed.
    KillReaders {
        /// Milliseconds until they start.
        down_ms: u64,
    },
    /// Many routers are killed at once.
    Herd {
        /// Of every hundred routers.
        percent: usize,
        /// Milliseconds until they start.
        down_ms: u64,
    },
    /// Routers are restarted one after another.
    Roll {
        /// Of every hundred routers.
        percent: usize,
        /// Milliseconds between two of them.
        gap_ms: u64,
    },
    /// What one router sends to another is lost.
    Cut {
        /// Index of the sender.
        from: usize,
        /// Index of the receiver.
        to: usize,
        /// Milliseconds until the cut ends.
        for_ms: u64,
    },
    /// A router cannot reach the store.
    Isolate {
        /// Index of the router.
        router: usize,
        /// Milliseconds until it can.
        for_ms: u64,
    },
    /// The operators write a configuration.
    Configure,
    /// An upstream registers, and leaves again.
    Visit {
        /// Milliseconds until it leaves.
        for_ms: u64,
    },
    /// The entry of an upstream of the start is removed.
    Remove {
        /// Index of the upstream.
        upstream: usize,
    },
    /// Upstreams fail requests.
    Fail {
        /// Of every hundred requests.
        percent: u32,
        /// Milliseconds until they do not.
        for_ms: u64,
    },
}

/// A run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// Seed of the network's delays and losses.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Seeds in the settings at whose addresses no router runs.
    pub stale_seeds: usize,
    /// Requests of all callers to a router within a second.
    pub requests_per_s: u32,
    /// The faults, each with its time in milliseconds, in order.
    pub faults: Vec<(u64, Fault)>,
}

impl Plan {
    /// Draws a run.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // The smaller of two.
        let sizes = [0, 1].map(|_| SIZES.choose(&mut rng).copied().unwrap_or(1));
        let routers = sizes[0].min(sizes[1]);
        let zones = rng.random_range(1..=routers.div_ceil(2).min(5));
        let stale_seeds = if rng.random_bool(0.3) {
            rng.random_range(1..=SEEDS)
        } else {
            0
        };
        let count = rng.random_range(1..=8);
        let mut faults: Vec<(u64, Fault)> = (0..count)
            .map(|_| {
                let at = RUN_IN_MS + rng.random_range(0..FAULTS_MS);
                (at, draw_fault(&mut rng, routers))
            })
            .collect();
        if 100 * READERS_PER_ZONE * zones > READERS_PERCENT_MAX * routers {
            faults.retain(|(_, fault)| !matches!(fault, Fault::KillReaders { .. }));
        }
        faults.sort_by_key(|(at, _)| *at);
        Self {
            seed,
            routers,
            zones,
            stale_seeds,
            requests_per_s: rng.random_range(5..40),
            faults,
        }
    }

    /// When the run ends.
    pub(super) fn end(&self) -> Time {
        let last = self.faults.iter().map(|(at, _)| *at).max();
        Time::from_millis(last.unwrap_or(RUN_IN_MS) + RUN_OUT_MS)
    }

    /// Time within which a configuration or a removal has to be in force everywhere. It is that of the
    /// platform for deployments of this size.
    pub(super) const fn apply_bound(&self) -> Duration {
        if self.routers <= 12 {
            Duration::from_secs(2)
        } else {
            Duration::from_secs(3)
        }
    }
}

fn draw_fault(rng: &mut Pcg64Mcg, routers: usize) -> Fault {
    let router = rng.random_range(0..routers);
    match rng.random_range(0..14) {
        0 => Fault::Kill {
            router,
            down_ms: rng.random_range(50..3_000),
        },
        1 => Fault::Lose { router },
        2 | 3 => Fault::KillReaders {
            down_ms: rng.random_range(500..4_000),
        },
        4 => Fault::Herd {
            percent: rng.random_range(20..70),
            down_ms: rng.random_range(50..3_000),
        },
        5 => Fault::Roll {
            percent: rng.random_range(20..100),
            gap_ms: rng.random_range(400..2_000),
        },
        6 => Fault::Cut {
            from: router,
            to: rng.random_range(0..routers),
            for_ms: rng.random_range(200..6_000),
        },
        7 => Fault::Isolate {
            router,
            for_ms: rng.random_range(200..6_000),
        },
        8 | 9 => Fault::Configure,
        10 => Fault::Visit {
            for_ms: rng.random_range(10..400),
        },
        11 => Fault::Remove {
            upstream: rng.random_range(0..UPSTREAMS),
        },
        _ => Fault::Fail {
            percent: rng.random_range(30..100),
            for_ms: rng.random_range(3_000..12_000),
        },
    }
}
