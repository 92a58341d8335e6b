//! Prints the generated types for the schema file given as the first argument.

use std::env;
use std::fs;
use std::process;

fn main() -> process::ExitCode {
    let Some(path) = env::args().nth(1) else {
        eprintln!("usage: generate SCHEMA.json > BORDER.rs");
        return process::ExitCode::from(2);
    };
    match fs::read_to_string(&path) {
        Ok(text) => {
            print!("{}", schema::generate_types(&text));
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{path}: {error}");
            process::ExitCode::FAILURE
        }
    }
}
