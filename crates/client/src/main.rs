//! The executable `hornbeampitch`, the operators' client.

use std::env;
use std::io;
use std::process;

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let code = client::run(&args, &mut io::stdout(), &mut io::stderr());
    process::ExitCode::from(code)
}
