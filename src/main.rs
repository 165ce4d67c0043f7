//! The `savorybeam` command. All of it is in the library, so that tests reach
//! it too.

fn main() -> std::process::ExitCode {
    savorybeam::app::cli::run()
}
