//! Runs the daemon: handles the command line, loads the settings and starts the
//! configured role.

use crate::agent;
use crate::app::AdminServer;
use crate::app::ShutdownSignal;
use crate::app::StartError;
use crate::app::command::Command;
use crate::app::platform;
use crate::entry;
use std::fs;
use std::process;
use std::sync;
use tokio::runtime;
use world::Role;

/// Number of runtime threads for I/O. Two are enough, since a placement
/// decision takes only microseconds.
const IO_THREADS: usize = 2;

/// Runs the daemon with the given arguments (without the program name) and
/// returns its exit code. An error that prevents the start is printed to
/// standard error.
pub fn run(arguments: &[String]) -> process::ExitCode {
    match start(arguments) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", error.to_string().trim_end());
            process::ExitCode::from(error.exit_code())
        }
    }
}

fn start(arguments: &[String]) -> Result<(), StartError> {
    match Command::parse(arguments)? {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Check(path) => {
            read_settings(&path)?;
            println!("{path}: valid");
            Ok(())
        }
        Command::Platform => platform::serve(),
        Command::Serve(path) => serve(read_settings(&path)?),
    }
}

fn read_settings(path: &str) -> Result<conf::Settings, StartError> {
    let text = fs::read_to_string(path).map_err(|source| StartError::ReadFile {
        path: path.to_owned(),
        source,
    })?;
    conf::Settings::parse(path, &text).map_err(StartError::Settings)
}

fn serve(settings: conf::Settings) -> Result<(), StartError> {
    trace::start_logging(&settings.log);
    let shutdown = ShutdownSignal::install().map_err(StartError::System)?;
    let _tracing_guard =
        trace::start_tracing(settings.traces, &settings.host, settings.role.name());
    let admin = AdminServer::start(settings.admin)?;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .enable_all()
        .build()
        .map_err(StartError::System)?;
    trace::LogLine::new("started")
        .with("host", &settings.host)
        .with("zone", &settings.zone)
        .with("role", settings.role.name())
        .with("listen", settings.listen)
        .info();
    let settings = sync::Arc::new(settings);
    let result = match settings.role {
        Role::Entry => runtime.block_on(entry::serve(settings.clone(), &admin, shutdown)),
        Role::Prefill | Role::Decode | Role::Service => {
            runtime.block_on(agent::serve(settings.clone(), &admin, shutdown))
        }
    };
    runtime.shutdown_background();
    trace::LogLine::new("stopped")
        .with("host", &settings.host)
        .info();
    result
}
