//! Runs an entry from startup to graceful shutdown.

use crate::app::AdminServer;
use crate::app::ShutdownSignal;
use crate::app::StartError;
use crate::entry::http::HttpHandler;
use crate::entry::methods::EntryMethods;
use crate::entry::peers;
use crate::entry::state::Entry;
use crate::entry::watchers;
use jsonrpsee::server;
use std::sync;
use std::time;
use wire::api::EntryServer;
use wire::api::PeerServer;

/// Time from the first health check that reports `draining` to the closing of the
/// port for callers, in which load balancers can stop sending requests.
const PORT_CLOSE_DELAY: time::Duration = time::Duration::from_millis(500);
/// Time for peers to adopt a division without this entry before its links close.
const HANDOVER_DELAY: time::Duration = time::Duration::from_millis(500);

/// Runs an entry until a shutdown is requested and all requests have finished.
/// Fails if a port cannot be bound, a thread cannot be started or the setting
/// `callers` is missing.
pub(crate) async fn serve(
    settings: sync::Arc<conf::Settings>,
    admin: &AdminServer,
    shutdown: ShutdownSignal,
) -> Result<(), StartError> {
    let entry = sync::Arc::new(Entry::new(settings.clone()));
    let rpc_server = start_rpc(&entry).await?;
    watchers::start_threads(&entry).map_err(StartError::System)?;
    let tick_task = tokio::spawn(peers::run_ticks(entry.clone()));
    let caller_address = settings
        .callers
        .ok_or_else(|| StartError::Usage("an entry needs the setting `callers`".into()))?;
    let handler = HttpHandler {
        entry: entry.clone(),
    };
    let http_server =
        web::Server::start(caller_address, handler).map_err(|source| StartError::Listen {
            address: caller_address,
            source,
        })?;
    shutdown.wait().await;
    trace::LogLine::new("draining").info();
    admin.mark_draining();
    entry.load.update(|load| load.draining = true);
    tokio::time::sleep(PORT_CLOSE_DELAY).await;
    http_server.stop().await;
    tokio::time::sleep(HANDOVER_DELAY).await;
    tick_task.abort();
    rpc_server.stop();
    Ok(())
}

async fn start_rpc(entry: &sync::Arc<Entry>) -> Result<wire::Server, StartError> {
    let methods = EntryMethods {
        entry: entry.clone(),
    };
    let mut module = server::RpcModule::new(());
    module
        .merge(PeerServer::into_rpc(methods.clone()))
        .and_then(|()| module.merge(EntryServer::into_rpc(methods)))
        .map_err(|e| StartError::System(std::io::Error::other(e)))?;
    let address = entry.settings.listen;
    wire::Server::start(address, entry.secrets.clone(), module)
        .await
        .map_err(|source| StartError::Listen { address, source })
}
