//! Runs an entry on the Tracks Unit's platform, with the `direct` crate.

use crate::app::StartError;
use std::fs;
use tokio::runtime;
use tokio::task;

/// Runs an entry with the settings file named by the platform, until it is
/// stopped.
///
/// All I/O runs on one thread, because the platform charges for each wake-up
/// and runs only one thread at a time (docs/PLATFORM.md, "Processor").
pub(crate) fn serve() -> Result<(), StartError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::System)?;
    let signals = {
        let _context = runtime.enter();
        direct::Signals::install().map_err(StartError::System)?
    };
    let path = ::platform::settings_path().map_err(StartError::Platform)?;
    let text = fs::read_to_string(&path).map_err(|source| StartError::ReadFile {
        path: path.display().to_string(),
        source,
    })?;
    let settings = ::platform::read_settings(&text).map_err(StartError::Platform)?;
    let _log_guard =
        trace::start_nonblocking_logging(log::LevelFilter::Info).map_err(StartError::System)?;
    trace::LogLine::new("started")
        .with("host", &settings.host)
        .with("zone", &settings.zone)
        .with("listen", settings.listen)
        .with("links", settings.peer_listen)
        .info();
    let local = task::LocalSet::new();
    let result = local.block_on(&runtime, async {
        let client = web::Client::new();
        let store = ::platform::store_client(client.clone(), settings.store_address);
        let engines = ::platform::upstream_client();
        let entry =
            direct::Entry::<::platform::TracksPlatform>::new(settings, store, engines, client);
        direct::run(entry, signals).await
    });
    result.map_err(StartError::System)
}
