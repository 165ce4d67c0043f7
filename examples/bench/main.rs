//! Compares the policies of savorybeam with a naive baseline in virtual time.
//!
//! `cargo run --release --example bench -- --seed 1 --write docs/MEASURED.md`

// Counts and virtual times are far below the range in which conversions between
// integers and floating-point numbers lose anything.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

mod cost;
mod loans;
mod naive;
mod net;
mod platform;
mod report;
mod stats;
mod steered;
mod target;
mod world;

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

use crate::{
    naive::Naive,
    net::Net,
    platform::Platform,
    report::Runs,
    stats::Stats,
    steered::Steered,
    target::Target,
    world::{DEPLOYMENTS, Deployment, Phase, SECOND},
};

/// Command-line options.
struct Args {
    seed: u64,
    write: Option<PathBuf>,
    cost: bool,
}

fn options() -> OptionParser<Args> {
    let seed = long("seed")
        .help("Seed of all random numbers")
        .argument("N");
    let seed = seed.fallback(1);
    let write = long("write")
        .help("Page to write the tables to")
        .argument("FILE");
    let write = write.optional();
    let cost = long("cost").help("Time single decisions instead").switch();
    construct!(Args { seed, write, cost }).to_options()
}

/// The fault that is injected into the first service's targets.
#[derive(Clone, Copy)]
enum Fault {
    None,
    /// This number of targets is slowed.
    Slowed(usize),
    /// Two targets start draining at 20 s and return with cold caches at 45 s.
    Restart,
}

fn targets(deployment: &Deployment, fault: Fault) -> Vec<Target> {
    let mut all = Vec::new();
    for (n, service) in deployment.services.iter().enumerate() {
        for server in 0..service.servers {
            let mut target = Target::new(n, world::server_az(server), service.slots);
            // The affected servers are in different availability zones.
            match fault {
                Fault::Slowed(count) => target.slowed = n == 0 && server < count,
                Fault::Restart if n == 0 && server < 2 => {
                    target.restart = Some((20 * SECOND, 45 * SECOND));
                }
                _ => {}
            }
            target.misreports = server == service.servers - 1;
            all.push(target);
        }
    }
    all
}

fn run(deployment: &Deployment, phases: &[Phase], fault: Fault, seed: u64, steered: bool) -> Stats {
    let requests = world::arrivals(deployment, phases, seed);
    let stats = Stats::new(10 * SECOND, deployment.services.len());
    let net = Net::new(deployment.mbps, steered);
    let targets = targets(deployment, fault);
    let mut platform = Platform::new(*deployment, requests, targets, stats, net);
    if steered {
        let mut steered = Steered::new(&mut platform, seed);
        while let Some(event) = platform.next() {
            steered.handle(&mut platform, event);
        }
    } else {
        let mut naive = Naive::new(&platform);
        while let Some(event) = platform.next() {
            naive.handle(&mut platform, event);
        }
    }
    platform.stats
}

fn phase(until: u64, load: f64, long_factor: f64) -> Phase {
    Phase {
        until: until * SECOND,
        load,
        long_factor,
    }
}

/// Loads at which headroom is measured, as fractions of saturation.
const LOADS: [f64; 9] = [0.70, 0.75, 0.80, 0.85, 0.90, 0.95, 1.00, 1.05, 1.10];

fn runs(deployment: &Deployment, seed: u64, steered: bool) -> Runs {
    let usual = [phase(60, 0.6, 1.0)];
    let burst = [
        phase(20, 0.4, 1.0),
        phase(50, 0.4, 3.0),
        phase(60, 0.4, 1.0),
    ];
    let steps = [
        phase(20, 0.5, 1.0),
        phase(40, 1.0, 1.0),
        phase(60, 2.0, 1.0),
        phase(80, 0.5, 1.0),
    ];
    let load = |load| {
        let phases = [phase(30, load, 1.0)];
        let stats = run(deployment, &phases, Fault::None, seed, steered);
        (load, stats.failures())
    };
    let with = |fault| run(deployment, &usual, fault, seed, steered);
    Runs {
        loads: LOADS.map(load).into(),
        usual: with(Fault::None),
        burst: run(deployment, &burst, Fault::None, seed, steered),
        slowed: [1, 2, 3].map(|n| with(Fault::Slowed(n))).into(),
        restart: with(Fault::Restart),
        steps: run(deployment, &steps, Fault::None, seed, steered),
    }
}

fn main() -> std::io::Result<()> {
    let args = options().run();
    if args.cost {
        cost::print();
        return Ok(());
    }
    let mut text = report::preface(args.seed);
    for deployment in &DEPLOYMENTS {
        let naive = runs(deployment, args.seed, false);
        let steered = runs(deployment, args.seed, true);
        text += &report::table(deployment, &naive, &steered);
    }
    print!("{text}");
    args.write
        .map_or(Ok(()), |path| std::fs::write(path, &text))
}
