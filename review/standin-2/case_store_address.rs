//! The settings files change: the store has a new address, beside which it serves the old
//! one for a time. After that a version moves a route to another service.

mod kit;
mod moved_route;

use std::{fs, io, path::Path, process::ExitCode, thread, time::Duration};

use moved_route::{FIRST_VERSION, FORMER, LATTER, Scene, version};

const MACHINES: u8 = 2;

/// The last octet of the new address of the store.
const NEW_STORE_IP: u8 = 2;

/// How long the store serves the old address after the settings have changed.
const OVERLAP: Duration = Duration::from_secs(15);

/// From the end of the old address to the version: more than `contact_s` of the site.
const PAUSE: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(12);

/// Puts the new address into the settings of all machines and sends them SIGHUP.
fn change_settings(scene: &Scene, old: &str, new: &str) -> io::Result<()> {
    for (k, gateway) in scene.gateways.iter().enumerate() {
        let path = scene.temp.join(format!("edge-{k}.yaml"));
        let written = path.with_extension("new");
        fs::write(&written, fs::read_to_string(&path)?.replace(old, new))?;
        fs::rename(&written, &path)?;
        gateway.signal("HUP");
    }
    Ok(())
}

fn run(dir: &Path, trouble: bool) -> io::Result<bool> {
    let scene = Scene::start(dir, MACHINES, &version(FIRST_VERSION, FORMER, 0))?;
    if trouble {
        let moved = scene.store.at_address(scene.ip(NEW_STORE_IP))?;
        let (old, new) = (scene.store.addr.to_string(), moved.addr.to_string());
        change_settings(&scene, &old, &new)?;
        scene.record.line(&format!(
            "the settings name the store's new address {new}, and the machines got SIGHUP"
        ));
        thread::sleep(OVERLAP);
        scene.store.close();
        scene
            .record
            .line(&format!("the store no longer serves its old address {old}"));
    } else {
        thread::sleep(OVERLAP);
    }
    thread::sleep(PAUSE);
    let last = FIRST_VERSION + 1;
    Ok(scene.move_route(last, &version(last, LATTER, 0), WATCHED))
}

fn main() -> ExitCode {
    kit::exit_code(run)
}
