//! Compares our policy with the naive one in virtual time.
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
mod fake;
mod loans;
mod measure;
mod naive;
mod net;
mod platform;
mod report;
mod steered;
mod world;

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

use crate::{
    fake::Fake,
    measure::Tally,
    naive::Naive,
    net::Net,
    platform::Core,
    report::Runs,
    steered::Steered,
    world::{DEPLOYMENTS, Deployment, Phase, SECOND},
};

/// What the command line says.
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

/// What happens to the first service's targets.
#[derive(Clone, Copy)]
enum Trouble {
    None,
    /// So many are slowed.
    Slowed(usize),
    /// Two leave at 20 s and are back with cold caches at 45 s.
    Restart,
}

fn targets(deployment: &Deployment, trouble: Trouble) -> Vec<Fake> {
    let mut all = Vec::new();
    for (n, service) in deployment.services.iter().enumerate() {
        for server in 0..service.servers {
            let mut target = Fake::new(n, world::server_az(server), service.slots);
            // The first servers are in different availability zones.
            match trouble {
                Trouble::Slowed(count) => target.slowed = n == 0 && server < count,
                Trouble::Restart if n == 0 && server < 2 => {
                    target.restart = Some((20 * SECOND, 45 * SECOND));
                }
                _ => {}
            }
            target.lies = server == service.servers - 1;
            all.push(target);
        }
    }
    all
}

fn run(
    deployment: &Deployment,
    phases: &[Phase],
    trouble: Trouble,
    seed: u64,
    ours: bool,
) -> Tally {
    let requests = world::arrivals(deployment, phases, seed);
    let tally = Tally::new(10 * SECOND, deployment.services.len());
    let net = Net::new(deployment.mbps, ours);
    let fakes = targets(deployment, trouble);
    let mut core = Core::new(*deployment, requests, fakes, tally, net);
    if ours {
        let mut steered = Steered::new(&mut core, seed);
        while let Some(event) = core.next() {
            steered.handle(&mut core, event);
        }
    } else {
        let mut naive = Naive::new(&core);
        while let Some(event) = core.next() {
            naive.handle(&mut core, event);
        }
    }
    core.tally
}

fn phase(until: u64, load: f64, long: f64) -> Phase {
    Phase {
        until: until * SECOND,
        load,
        long,
    }
}

/// The loads at which headroom is measured, in parts of saturation.
const LOADS: [f64; 9] = [0.70, 0.75, 0.80, 0.85, 0.90, 0.95, 1.00, 1.05, 1.10];

fn runs(deployment: &Deployment, seed: u64, ours: bool) -> Runs {
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
        let tally = run(deployment, &phases, Trouble::None, seed, ours);
        (load, tally.failures())
    };
    let with = |trouble| run(deployment, &usual, trouble, seed, ours);
    Runs {
        loads: LOADS.map(load).into(),
        usual: with(Trouble::None),
        burst: run(deployment, &burst, Trouble::None, seed, ours),
        slowed: [1, 2, 3].map(|n| with(Trouble::Slowed(n))).into(),
        restart: with(Trouble::Restart),
        steps: run(deployment, &steps, Trouble::None, seed, ours),
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
