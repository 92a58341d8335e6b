//! Starts an agent, serves until shutdown, and stops it gracefully.

use crate::agent::cache::CacheFollower;
use crate::agent::claims::Claims;
use crate::agent::job::Event;
use crate::agent::methods::AgentMethods;
use crate::agent::orders;
use crate::agent::plain::PlainService;
use crate::agent::scheduler::JobScheduler;
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

/// Time between checks at shutdown whether all work has ended.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Maximum time to wait at shutdown for the store to record the outcomes of claimed
/// calls. A resent call whose outcome was not recorded gets the outcome "unknown".
const RECORD_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time between the drain and the closing of connections, in which peers receive
/// the report that this agent is draining.
const CLOSE_DELAY: time::Duration = time::Duration::from_millis(400);

/// Runs as an agent until the shutdown signal has come and all jobs and calls have
/// ended. Fails if the agent cannot start.
pub(crate) async fn serve(
    settings: sync::Arc<conf::Settings>,
    admin: &AdminServer,
    shutdown: ShutdownSignal,
) -> Result<(), StartError> {
    let upstream = settings
        .upstream
        .as_ref()
        .ok_or_else(|| StartError::Usage("an agent needs the setting `upstream`".into()))?;
    let load = LoadPublisher::new(LoadState::default());
    let (scheduler, event_sender) =
        JobScheduler::new(settings.host.clone(), settings.role, upstream, load.clone());
    let claims = match settings.role {
        Role::Service => {
            let claims = Claims::start(&settings.host, settings.store);
            Some(claims.map_err(StartError::System)?)
        }
        Role::Entry | Role::Prefill | Role::Decode => None,
    };
    let service = sync::Arc::new(PlainService::new(upstream, claims, load.clone()));
    let cache = match settings.role {
        Role::Prefill => {
            let engine = engine::EngineClient::new(upstream.address);
            Some(CacheFollower::start(engine).map_err(StartError::System)?)
        }
        Role::Entry | Role::Decode | Role::Service => None,
    };
    let methods = AgentMethods {
        cache,
        hello: hello(&settings, &upstream.name),
        load,
        event_sender: event_sender.clone(),
        service: service.clone(),
        next_attempt_id: sync::Arc::new(atomic::AtomicU64::new(1)),
    };
    let server = listen(&settings, methods).await?;
    let scheduler_thread = match settings.role {
        Role::Prefill | Role::Decode => {
            // This agent has bound the port, so no earlier agent of this host is running.
            orders::start(&settings).map_err(StartError::System)?;
            Some(start_scheduler(scheduler)?)
        }
        Role::Service | Role::Entry => None,
    };
    shutdown.wait().await;
    trace::LogLine::new("draining").info();
    admin.mark_draining();
    service.drain();
    // The scheduler, if one runs, ends when its last job has ended.
    let _ = event_sender.send(Event::Drain);
    while scheduler_thread.as_ref().is_some_and(|t| !t.is_finished()) || !service.is_idle() {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
    }
    wait_until_recorded(&service).await;
    tokio::time::sleep(CLOSE_DELAY).await;
    server.stop();
    Ok(())
}

/// Waits until the outcomes of all calls are in the store, or the timeout has passed.
async fn wait_until_recorded(service: &PlainService) {
    let deadline = time::Instant::now() + RECORD_TIMEOUT;
    while !service.all_recorded() && time::Instant::now() < deadline {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
    }
}

fn start_scheduler(scheduler: JobScheduler) -> Result<thread::JoinHandle<()>, StartError> {
    thread::Builder::new()
        .name("scheduler".into())
        .spawn(move || scheduler.run())
        .map_err(StartError::System)
}

async fn listen(
    settings: &conf::Settings,
    methods: AgentMethods,
) -> Result<wire::Server, StartError> {
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
