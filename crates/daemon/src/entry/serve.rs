//! An entry's life from its listening ports to its graceful stop.

use crate::app::Admin;
use crate::app::StartError;
use crate::app::Stop;
use crate::entry::core::Entry;
use crate::entry::feeds;
use crate::entry::http::Http;
use crate::entry::methods::Methods;
use crate::entry::peers;
use jsonrpsee::server;
use std::sync;
use std::time;
use wire::api::EntryServer;
use wire::api::PeerServer;

/// Balancers see the health answer change before the port closes.
const NOTICE: time::Duration = time::Duration::from_millis(500);
/// Peers take over this entry's slices before its links close.
const LAST_WORDS: time::Duration = time::Duration::from_millis(500);

/// Serves as an entry until stopped and every request has ended.
pub(crate) async fn serve(
    settings: sync::Arc<conf::Settings>,
    admin: &Admin,
    stop: Stop,
) -> Result<(), StartError> {
    let entry = sync::Arc::new(Entry::new(settings.clone()));
    let listening = listen(&entry).await?;
    feeds::start(&entry).map_err(StartError::System)?;
    let ticking = tokio::spawn(peers::run(entry.clone()));
    let callers = settings
        .callers
        .ok_or_else(|| StartError::Usage("an entry needs `callers`".into()))?;
    let http = Http {
        entry: entry.clone(),
    };
    let server = web::Server::start(callers, http).map_err(|source| StartError::Listen {
        address: callers,
        source,
    })?;
    stop.wait().await;
    trace::Line::new("draining").info();
    admin.retire();
    entry.heart.set(|load| load.draining = true);
    tokio::time::sleep(NOTICE).await;
    server.stop().await;
    tokio::time::sleep(LAST_WORDS).await;
    ticking.abort();
    listening.stop();
    Ok(())
}

async fn listen(entry: &sync::Arc<Entry>) -> Result<wire::Server, StartError> {
    let methods = Methods {
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
