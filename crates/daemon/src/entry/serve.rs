//! Runs an entry from startup to graceful shutdown.

use crate::app::AdminServer;
use crate::app::ShutdownSignal;
use crate::app::StartError;
use crate::app::count_closed_connection;
use crate::app::descriptors;
use crate::entry::http::HttpHandler;
use crate::entry::methods::EntryMethods;
use crate::entry::peers;
use crate::entry::state::Entry;
use crate::entry::watchers;
use callers::Callers;
use callers::MemoryAccount;
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
    let http_server = web::Server::start(caller_address, handler, start_callers(&settings))
        .map_err(|source| StartError::Listen {
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

/// Creates the table of callers' connections, within what the process may take of its host.
fn start_callers(settings: &conf::Settings) -> sync::Arc<Callers> {
    let resources = settings.resources;
    let own_limit = descriptors::soft_limit().unwrap_or(u64::MAX);
    let table = pool::CallerTable::new(resources.descriptors.min(own_limit));
    let memory = MemoryAccount::new(pool::ByteBudget::new(resources.memory_mb));
    Callers::new("callers", table, &memory, count_closed_connection)
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
