//! The `hornbeampitchd` daemon. The settings file selects its role.

use std::env;
use std::process;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    daemon::run(&arguments)
}
