//! An agent's life from its listening port to its graceful stop.

use crate::agent::cache::Cache;
use crate::agent::claims::Claims;
use crate::agent::job::Event;
use crate::agent::methods::Methods;
use crate::agent::orders;
use crate::agent::plain::Plain;
use crate::agent::scheduler::Desk;
use crate::app::AdminServer;
use crate::app::LoadPublisher;
use crate::app::ShutdownSignal;
use crate::app::StartError;
use jsonrpsee::server;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;
use wire::LoadState;
use wire::api::AgentServer;
use wire::api::PeerServer;
use wire::border;
use world::Role;

const IDLE_LOOK: time::Duration = time::Duration::from_millis(20);
/// Most time for outcomes to reach the store; a resend is told "unknown" of
/// those that don't.
const RECORD_LIMIT: time::Duration = time::Duration::from_secs(5);
/// Peers hear of the drain before the connections close.
const LAST_WORDS: time::Duration = time::Duration::from_millis(400);

/// Serves as an agent until stopped and empty.
pub(crate) async fn serve(
    settings: sync::Arc<conf::Settings>,
    admin: &AdminServer,
    stop: ShutdownSignal,
) -> Result<(), StartError> {
    let upstream = settings
        .upstream
        .as_ref()
        .ok_or_else(|| StartError::Usage("an agent needs an upstream".into()))?;
    let heart = LoadPublisher::new(LoadState::default());
    let (desk, inbox) = Desk::new(
        settings.host.clone(),
        settings.role,
        upstream,
        heart.clone(),
    );
    let claims = match settings.role {
        Role::Service => {
            let claims = Claims::start(&settings.host, settings.store);
            Some(claims.map_err(StartError::System)?)
        }
        Role::Entry | Role::Prefill | Role::Decode => None,
    };
    let plain = sync::Arc::new(Plain::new(upstream, claims, heart.clone()));
    let cache = match settings.role {
        Role::Prefill => {
            let model = engine::EngineClient::new(upstream.address);
            Some(Cache::start(model).map_err(StartError::System)?)
        }
        Role::Entry | Role::Decode | Role::Service => None,
    };
    let methods = Methods {
        cache,
        hello: hello(&settings, &upstream.name),
        heart,
        desk: inbox.clone(),
        plain: plain.clone(),
        tickets: sync::Arc::new(atomic::AtomicU64::new(1)),
    };
    let listening = listen(&settings, methods).await?;
    let desk = match settings.role {
        Role::Prefill | Role::Decode => {
            // The port is bound: no earlier agent of this host lives.
            orders::start(&settings).map_err(StartError::System)?;
            Some(start_desk(desk)?)
        }
        Role::Service | Role::Entry => None,
    };
    stop.wait().await;
    trace::LogLine::new("draining").info();
    admin.mark_draining();
    plain.drain();
    // A desk that is there to hear this ends once its last job has.
    let _ = inbox.send(Event::Drain);
    while desk.as_ref().is_some_and(|d| !d.is_finished()) || !plain.is_idle() {
        tokio::time::sleep(IDLE_LOOK).await;
    }
    record_outcomes(&plain).await;
    tokio::time::sleep(LAST_WORDS).await;
    listening.stop();
    Ok(())
}

/// Waits until outcomes are in the store, unless the store is out.
async fn record_outcomes(plain: &Plain) {
    let end = time::Instant::now() + RECORD_LIMIT;
    while !plain.is_recorded() && time::Instant::now() < end {
        tokio::time::sleep(IDLE_LOOK).await;
    }
}

fn start_desk(desk: Desk) -> Result<thread::JoinHandle<()>, StartError> {
    thread::Builder::new()
        .name("desk".into())
        .spawn(move || desk.run())
        .map_err(StartError::System)
}

async fn listen(settings: &conf::Settings, methods: Methods) -> Result<wire::Server, StartError> {
    let mut module = server::RpcModule::new(());
    module
        .merge(PeerServer::into_rpc(methods.clone()))
        .and_then(|()| module.merge(AgentServer::into_rpc(methods)))
        .map_err(|e| StartError::System(std::io::Error::other(e)))?;
    let secrets = wire::Secrets::new(settings.secrets.iter().cloned());
    wire::Server::start(settings.listen, secrets, module)
        .await
        .map_err(|source| StartError::Listen {
            address: settings.listen,
            source,
        })
}

fn hello(settings: &conf::Settings, upstream: &str) -> border::Hello {
    border::Hello {
        host: settings.host.to_string(),
        zone: settings.zone.to_string(),
        role: match settings.role {
            Role::Entry => border::Role::Entry,
            Role::Prefill => border::Role::Prefill,
            Role::Decode => border::Role::Decode,
            Role::Service => border::Role::Service,
        },
        upstream: upstream.to_owned(),
        incarnation: rand::random(),
        revision: 0,
        epoch: 0,
        draining: false,
    }
}
