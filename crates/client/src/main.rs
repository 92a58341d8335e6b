//! The operators' client `hornbeampitch`.

use std::env;
use std::io;
use std::process;

fn main() -> process::ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let code = client::run(&words, &mut io::stdout(), &mut io::stderr());
    process::ExitCode::from(code)
}
