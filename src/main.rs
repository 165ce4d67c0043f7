//! The `savorybeam` command. Its code is in the library, so that tests can use
//! it too.

fn main() -> std::process::ExitCode {
    savorybeam::app::cli::run()
}
