//! A large configuration changes a few times in quick succession, and the last version
//! moves a route to another service.

mod kit;
mod moved_route;

use std::{io, path::Path, process::ExitCode, thread, time::Duration};

use moved_route::{FIRST_VERSION, FORMER, LATTER, Scene, version};

/// A region of the site has three machines.
const MACHINES: u8 = 3;

/// Routes that other teams have. Two steps of `big_config` add as many.
const OTHER_ROUTES: usize = 2 * 1_556;

/// The changes of `config_storm`: one each `gap_s` for `for_s`.
const GAP: Duration = Duration::from_millis(330);
const CHANGES: u32 = 12;

const VALUE_MAX_BYTES: usize = 1_048_576;
const WATCHED: Duration = Duration::from_secs(18);

fn run(dir: &Path, trouble: bool) -> io::Result<bool> {
    let first = version(FIRST_VERSION, FORMER, OTHER_ROUTES);
    let scene = Scene::start(dir, MACHINES, &first)?;
    let size = first.len();
    scene.record.line(&format!(
        "the configuration has {} routes and {size} bytes, at most {VALUE_MAX_BYTES} are allowed",
        OTHER_ROUTES + 1
    ));
    let last = FIRST_VERSION + CHANGES;
    if trouble {
        for number in FIRST_VERSION + 1..last {
            scene
                .store
                .put("op/config", &version(number, FORMER, OTHER_ROUTES));
            scene
                .record
                .line(&format!("version {number} is acknowledged"));
            thread::sleep(GAP);
        }
    }
    Ok(scene.move_route(last, &version(last, LATTER, OTHER_ROUTES), WATCHED))
}

fn main() -> ExitCode {
    kit::exit_code(run)
}
