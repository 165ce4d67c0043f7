//! Formats the results of the comparison as Markdown.

use std::fmt::Write;

use savorybeam::domain::Lane;

use crate::{
    stats::Stats,
    world::{Deployment, Micros},
};

/// The results of one policy in one deployment.
pub struct Runs {
    /// Loads as fractions of saturation, and the percentage of requests not
    /// answered in time.
    pub loads: Vec<(f64, f64)>,
    pub usual: Stats,
    pub burst: Stats,
    /// The runs with one, two and three slowed targets of the first service.
    pub slowed: Vec<Stats>,
    /// The run in which two targets of the first service restart with cold caches.
    pub restart: Stats,
    /// 20 s each at 0.5, 1, 2 and 0.5 times saturation.
    pub steps: Stats,
}

/// The bound on a value of our policy.
enum Bound {
    /// No bound.
    None,
    /// At most this multiple of the naive value.
    Ratio(f64),
    /// At most this value.
    Most(f64),
    /// At least this value.
    Least(f64),
}

type Row = (&'static str, fn(&Runs) -> f64, Bound);

fn short(stats: &Stats, q: f64) -> f64 {
    stats.quantile(None, Lane::Short, q)
}

/// Returns the maximum load, in percent of saturation, up to which 99% of the
/// requests are answered in time.
fn headroom(runs: &Runs) -> f64 {
    let good = runs
        .loads
        .iter()
        .take_while(|(_, failures)| *failures <= 1.0);
    good.map(|(load, _)| load * 100.0).fold(0.0, f64::max)
}

fn slowed(runs: &Runs, n: usize) -> f64 {
    runs.slowed[n - 1].quantile(Some(0), Lane::Short, 0.99)
}

fn restarted(runs: &Runs, q: f64) -> f64 {
    runs.restart.quantile(Some(0), Lane::Short, q)
}

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

/// The seconds of each step that are counted. The first five follow the change of
/// the load and are left out.
const STEPS: [(usize, usize); 4] = [(5, 20), (25, 40), (45, 60), (65, 80)];

fn goodput(runs: &Runs, n: usize) -> f64 {
    runs.steps.goodput(STEPS[n].0, STEPS[n].1)
}

fn work(runs: &Runs, n: usize) -> f64 {
    runs.steps.work(STEPS[n].0, STEPS[n].1)
}

/// Returns the value at twice saturation in percent of the maximum of the steps.
fn percent_of_peak(value: fn(&Runs, usize) -> f64, runs: &Runs) -> f64 {
    let peak = (0..3).map(|n| value(runs, n)).fold(0.0, f64::max);
    value(runs, 2) * 100.0 / peak
}

/// Returns the rows of the table.
fn rows() -> Vec<Row> {
    let mut rows = usual_rows();
    rows.extend(overload_rows());
    rows
}

fn usual_rows() -> Vec<Row> {
    use Bound::{Most, None, Ratio};
    vec![
        ("short p50, ms", |r| short(&r.usual, 0.5), Ratio(1.05)),
        ("short p99, ms", |r| short(&r.usual, 0.99), None),
        ("short p99.9, ms", |r| short(&r.usual, 0.999), None),
        (
            "long p50, ms",
            |r| r.usual.quantile(Option::None, Lane::Long, 0.5),
            None,
        ),
        (
            "long p99, ms",
            |r| r.usual.quantile(Option::None, Lane::Long, 0.99),
            None,
        ),
        ("not answered in time, %", |r| r.usual.failures(), None),
        ("added attempts, %", |r| r.usual.added(), Most(5.0)),
        ("added work, %", |r| r.usual.added_work(), Most(5.0)),
        (
            "most work at a target, % of its slots",
            |r| r.usual.target_peak.into(),
            Most(100.0),
        ),
        (
            "most work in a region, % of its slots",
            |r| r.usual.region_peak.into(),
            Most(100.0),
        ),
        (
            "greatest load with 99% in time, % of saturation",
            headroom,
            None,
        ),
        (
            "short behind long p99, ms",
            |r| short(&r.burst, 0.99),
            Ratio(0.3),
        ),
        (
            "short behind long, not in time, %",
            |r| r.burst.failures(),
            None,
        ),
        ("p99 with 1 slowed target, ms", |r| slowed(r, 1), None),
        (
            "p99 with 2 slowed targets, ms",
            |r| slowed(r, 2),
            Ratio(0.4),
        ),
        ("p99 with 3 slowed targets, ms", |r| slowed(r, 3), None),
        ("2 slowed: not in time, %", |r| r.slowed[1].failures(), None),
        (
            "2 slowed: added attempts, %",
            |r| r.slowed[1].added(),
            Most(5.0),
        ),
        (
            "2 slowed: added work, %",
            |r| r.slowed[1].added_work(),
            Most(5.0),
        ),
        (
            "p99 over a cold restart of 2 targets, ms",
            |r| restarted(r, 0.99),
            None,
        ),
        ("restart: not in time, %", |r| r.restart.failures(), None),
        ("drain time, s", |r| seconds(r.restart.left) - 20.0, None),
        (
            "drain time beyond the longest request, s",
            |r| seconds(r.restart.left) - 20.0 - seconds(r.restart.longest),
            Most(3.0),
        ),
        (
            "last new work at a leaving target, s",
            |r| seconds(r.restart.reached) - 20.0,
            Most(3.0),
        ),
    ]
}

fn overload_rows() -> Vec<Row> {
    use Bound::{Least, Most, None};
    vec![
        ("goodput at 0.5, answers/s", |r| goodput(r, 0), None),
        ("goodput at 1, answers/s", |r| goodput(r, 1), None),
        ("goodput at 2, answers/s", |r| goodput(r, 2), None),
        (
            "goodput at 2, % of peak",
            |r| percent_of_peak(goodput, r),
            Least(95.0),
        ),
        ("work done at 1, slots", |r| work(r, 1), None),
        ("work done at 2, slots", |r| work(r, 2), None),
        (
            "work done at 2, % of peak",
            |r| percent_of_peak(work, r),
            None,
        ),
        (
            "recovery after load falls, s",
            |r| r.steps.recovery(60, 80) as f64,
            Most(0.0),
        ),
        ("steps: added attempts, %", |r| r.steps.added(), Most(5.0)),
        (
            "steps: most work at a target, %",
            |r| r.steps.target_peak.into(),
            Most(100.0),
        ),
        (
            "steps: most work in a region, %",
            |r| r.steps.region_peak.into(),
            Most(100.0),
        ),
    ]
}

/// Returns the text before the tables.
pub fn preface(seed: u64) -> String {
    format!(
        "# Measured\n\n\
        Written by `cargo run --release --example bench -- --seed {seed} --write docs/MEASURED.md`.\n\
        Nothing here is edited by hand. The bounds are those of [design.md](design.md), section 1.3.\n\n\
        {MODEL}\n"
    )
}

/// The description of the model.
const MODEL: &str = include_str!("model.md");

/// Returns the table of one deployment in Markdown.
pub fn table(deployment: &Deployment, naive: &Runs, steered: &Runs) -> String {
    let services = deployment.services.iter();
    let services: Vec<String> = services
        .map(|s| format!("{} {}×{}", s.name, s.servers, s.slots))
        .collect();
    let mut text = format!("\n## {}\n\n", deployment.name);
    let _ = writeln!(text, "Servers × slots: {}.\n", services.join(", "));
    text += "| measure | naive | savorybeam | ratio | bound | verdict |\n";
    text += "|---|---:|---:|---:|---|---|\n";
    for (name, read, bound) in rows() {
        let (a, b) = (read(naive), read(steered));
        let (bound, met) = evaluate(&bound, a, b);
        let verdict = match met {
            Some(true) => "met".to_owned(),
            Some(false) => format!("**missed**: {}", cause(name)),
            None => String::new(),
        };
        let ratio = if a > 0.0 {
            format!("{:.2}", b / a)
        } else {
            "–".into()
        };
        let _ = writeln!(
            text,
            "| {name} | {a:.1} | {b:.1} | {ratio} | {bound} | {verdict} |"
        );
    }
    text
}

/// Returns the known cause of a missed bound.
fn cause(name: &str) -> &'static str {
    if name.starts_with("recovery") {
        "work that arrives right after the fall meets the queue of the overload"
    } else {
        "not known"
    }
}

fn evaluate(bound: &Bound, naive: f64, steered: f64) -> (String, Option<bool>) {
    match bound {
        Bound::None => (String::new(), None),
        Bound::Ratio(n) => (format!("ratio ≤ {n}"), Some(steered <= naive * n)),
        Bound::Most(n) => (format!("≤ {n}"), Some(steered <= *n)),
        Bound::Least(n) => (format!("≥ {n}"), Some(steered >= *n)),
    }
}
