//! The daemon `hornbeampitchd`; its role comes from its settings file.

use std::env;
use std::process;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    daemon::run(&arguments)
}
