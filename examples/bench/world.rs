//! The two deployments and their workload.
//!
//! Sizes, slots, delays and links are those of docs/design.md, section 1.6. The
//! proportions of the workload are assumptions, since that page states only its
//! kinds.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use savorybeam::domain::{Lane, Priority};

/// Microseconds of virtual time.
pub type Micros = u64;

/// One second of virtual time.
pub const SECOND: Micros = 1_000_000;

/// One millisecond of virtual time.
pub const MILLI: Micros = 1000;

/// The entries of each deployment.
pub const ENTRIES: usize = 9;

/// The regions of each deployment.
pub const REGIONS: usize = 3;

/// The availability zones of each deployment.
pub const AZS: usize = 6;

/// Stragglers per thousand executions. Half of them are a property of the request,
/// which a hedge cannot avoid, and half of the execution.
const STRAGGLERS: u64 = 5;

/// Factor by which a straggler takes longer.
const STRAGGLER_FACTOR: f64 = 20.0;

/// A service and its workload.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub name: &'static str,
    pub servers: usize,
    pub slots: u32,
    /// Downloads per thousand requests.
    pub downloads: u64,
    /// Long computations per thousand requests.
    pub reports: u64,
}

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    /// One-way delay within a region.
    pub az: Micros,
    /// One-way delay between regions.
    pub region: Micros,
    /// One-way delay between a caller and its entry.
    pub client: Micros,
    /// Rate of the links between regions.
    pub mbps: u64,
    pub services: [Service; 4],
}

const fn service(name: &'static str, servers: usize, slots: u32, mix: (u64, u64)) -> Service {
    Service {
        name,
        servers,
        slots,
        downloads: mix.0,
        reports: mix.1,
    }
}

/// Both deployments.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Eldhúsleiga",
        az: MILLI,
        region: 35 * MILLI,
        client: 3 * MILLI,
        mbps: 280,
        services: [
            service("slotboard", 16, 5, (0, 30)),
            service("bokun", 12, 3, (0, 10)),
            service("skjalasafn", 12, 3, (100, 0)),
            service("tackjalisti", 12, 3, (20, 10)),
        ],
    },
    Deployment {
        name: "Mwangaza",
        az: 1500,
        region: 35 * MILLI,
        client: 8 * MILLI,
        mbps: 4000,
        services: [
            service("status-desk", 14, 4, (0, 30)),
            service("payout-ledger", 12, 3, (0, 10)),
            service("statement-vault", 12, 3, (150, 0)),
            service("eligibility-registry", 12, 3, (0, 20)),
        ],
    },
];

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A lookup that may be repeated.
    Lookup,
    /// A booking or payout that may not be repeated.
    Booking,
    /// A long computation. Its document does not declare it.
    Report,
    /// A large download, which its document declares as long and bulk.
    Download,
}

impl Kind {
    pub fn lane(self) -> Lane {
        match self {
            Self::Lookup | Self::Booking => Lane::Short,
            Self::Report | Self::Download => Lane::Long,
        }
    }

    pub fn route(self) -> &'static str {
        match self {
            Self::Lookup => "/lookups",
            Self::Booking => "/bookings",
            Self::Report => "/reports",
            Self::Download => "/downloads",
        }
    }

    pub fn priority(self) -> Priority {
        match self {
            Self::Lookup | Self::Report => Priority::Normal,
            Self::Booking => Priority::Critical,
            Self::Download => Priority::Bulk,
        }
    }

    pub fn deadline(self) -> Micros {
        match self {
            Self::Lookup | Self::Booking => 5 * SECOND,
            Self::Report | Self::Download => 30 * SECOND,
        }
    }
}

/// A request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub service: usize,
    pub region: usize,
    pub kind: Kind,
    /// The duration of an execution that is not slowed.
    pub work: Micros,
    pub bytes: u64,
    pub at: Micros,
    /// Seed of the variation between executions.
    pub seed: u64,
}

/// A phase of a run: its load as a fraction of saturation, and the factor for the
/// proportion of long work.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub until: Micros,
    pub load: f64,
    pub long_factor: f64,
}

/// Returns the mean work of a service's requests in seconds. Saturation is the
/// rate at which work alone, without network delays, keeps all slots busy.
pub fn mean_work(service: &Service) -> f64 {
    let stragglers = f64::from(u32::try_from(STRAGGLERS).unwrap_or(0)) / 1000.0;
    let factor = 1.0 + stragglers * (STRAGGLER_FACTOR - 1.0);
    let lognormal = |median: f64, sigma: f64| median * (sigma * sigma / 2.0_f64).exp();
    let part = |n: u64| f64::from(u32::try_from(n).unwrap_or(0)) / 1000.0;
    let long = part(service.downloads + service.reports);
    let short = lognormal(0.020, 0.5) * factor;
    short * (1.0 - long) + lognormal(0.8, 0.5) * long
}

/// Returns the requests of a run in the order of their arrival.
pub fn arrivals(deployment: &Deployment, phases: &[Phase], seed: u64) -> Vec<Request> {
    let mut all = Vec::new();
    for (n, service) in deployment.services.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed ^ (n as u64 + 1));
        let saturation = (service.servers as f64) * f64::from(service.slots) / mean_work(service);
        let mut now = 0;
        for phase in phases {
            let rate = saturation * phase.load;
            while now < phase.until {
                let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
                now += (gap * 1e6) as Micros;
                all.push(request(&mut rng, service, n, now, phase.long_factor));
            }
        }
    }
    all.sort_by_key(|r| r.at);
    all
}

fn request(rng: &mut SmallRng, service: &Service, n: usize, at: Micros, long: f64) -> Request {
    let kind = kind(rng, service, long);
    let seed = rng.random();
    let (work, bytes) = match kind.lane() {
        Lane::Short => {
            let work = lognormal(rng, 0.020, 0.5);
            let inherent = seed % 2000 < STRAGGLERS;
            let factor = if inherent { STRAGGLER_FACTOR } else { 1.0 };
            (work * factor, 2_000)
        }
        Lane::Long => {
            let bytes = if kind == Kind::Download {
                2_000_000
            } else {
                20_000
            };
            (lognormal(rng, 0.8, 0.5), bytes)
        }
    };
    Request {
        service: n,
        region: rng.random_range(0..REGIONS),
        kind,
        work: (work * 1e6) as Micros,
        bytes,
        at,
        seed,
    }
}

fn kind(rng: &mut SmallRng, service: &Service, long: f64) -> Kind {
    let pick: f64 = rng.random::<f64>() * 1000.0;
    let downloads = service.downloads as f64 * long;
    let reports = service.reports as f64 * long;
    if pick < downloads {
        Kind::Download
    } else if pick < downloads + reports {
        Kind::Report
    } else if rng.random_bool(0.1) {
        Kind::Booking
    } else {
        Kind::Lookup
    }
}

fn lognormal(rng: &mut SmallRng, median: f64, sigma: f64) -> f64 {
    // Box-Muller transform.
    let (u, v): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    median * (sigma * normal).exp()
}

/// Returns the straggler factor of one execution. It depends on the attempt, so
/// that a hedge may avoid it.
pub fn execution_factor(request: &Request, attempt: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(request.seed ^ attempt.wrapping_mul(0x9E37_79B9));
    let straggler = rng.random_range(0..2000) < STRAGGLERS;
    if request.kind.lane() == Lane::Short && straggler {
        STRAGGLER_FACTOR
    } else {
        1.0
    }
}

/// Returns the availability zone of a server.
pub fn server_az(n: usize) -> usize {
    n % AZS
}

/// Returns the region of an availability zone.
pub fn region_of(az: usize) -> usize {
    az / (AZS / REGIONS)
}

/// Returns the region of an entry.
pub fn entry_region(entry: usize) -> usize {
    entry / (ENTRIES / REGIONS)
}
