//! Orders engines to change between prefill and decode, while this entry holds
//! the lease for it.

use crate::engine_pool::EnginePool;
use crate::entry::Entry;
use crate::telemetry;
use pool::LeaseStep;
use seam::Store;
use seam::Upstreams;
use std::collections;
use std::rc;
use std::time;
use world::Name;

/// Store key of the entry that gives role orders.
const HOLDER_KEY: &str = "hornbeampitch/holder";
/// Interval at which the holder checks the balance between prefill and decode
/// engines.
const BALANCE_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Longest time in which an order must reach its engine.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time allowed for a role change beyond the engine's own switch time, so that
/// running requests can finish.
const ORDER_MARGIN: time::Duration = time::Duration::from_secs(6);
/// Prefill speed in prompt tokens per second assumed before one is measured. It
/// is below the real speed, so that the first load moves engines to prefill.
const DEFAULT_SPEED: f64 = 30_000.0;
/// Messages older than this no longer count for a peer's demand.
const MESSAGE_TTL: time::Duration = time::Duration::from_secs(3);

/// Tries to hold the lease for role orders, and gives orders while it is held.
pub(crate) async fn run<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut lease_state = pool::OrderLease::new(entry.settings.bounds.lease_ttl);
    let mut balancers: collections::BTreeMap<Name, pool::RoleBalancer> =
        collections::BTreeMap::new();
    loop {
        tokio::time::sleep(BALANCE_INTERVAL).await;
        if entry.is_stopping() {
            if let Some(lease) = lease_state.lease() {
                // If the store does not respond, the lease expires by itself.
                let _ = entry.store.revoke_lease(lease).await;
            }
            return;
        }
        maintain_lease(&entry, &mut lease_state).await;
        entry.is_holder.set(lease_state.lease().is_some());
        for (service, pool) in entry.pools.all() {
            let now = time::Instant::now();
            let Some(fence) = lease_state.fence(ORDER_TIMEOUT, now) else {
                break;
            };
            let engines = role_candidates(&entry, &service, &pool, now);
            let (prefill, decode) = total_demand(&entry, &service, &pool, &engines, now);
            let balancer = balancers.entry(service.clone()).or_default();
            let several = entry.is_sharing();
            let changes = balancer.decide_all(&engines, prefill, decode, several, now);
            for change in changes {
                if !entry.is_accepting(&change.id) {
                    continue;
                }
                trace::LogLine::new("shift_wanted")
                    .with("service", &service)
                    .with("engine", &change.id)
                    .with("part", telemetry::role_label(Some(change.role)))
                    .with("prefill", format!("{prefill:.2}"))
                    .with("decode", format!("{decode:.2}"))
                    .with("fence", fence)
                    .info();
                let switch_time = pool.spec.borrow().switch_time;
                let ordered = give_order(&entry, &mut lease_state, &change, fence).await;
                balancer.record_order(time::Instant::now());
                if ordered {
                    let until = time::Instant::now() + switch_time + ORDER_MARGIN;
                    let mut role_changes = entry.role_changes.borrow_mut();
                    role_changes.insert(change.id, (change.role, until));
                    drop(role_changes);
                    entry.update_pools();
                }
            }
        }
    }
}

/// Makes the request to the store that is due for the lease, if any.
async fn maintain_lease<P: seam::Platform>(entry: &Entry<P>, lease_state: &mut pool::OrderLease) {
    let now = time::Instant::now();
    if lease_state.is_expired(now) {
        lease_state.record_loss(now);
    }
    match lease_state.next_step(now) {
        LeaseStep::Idle => {}
        // A peer has reported that it holds the lease, so the key need not be read.
        LeaseStep::Read if entry.peer_is_holder(now) => lease_state.record_read(false, now),
        LeaseStep::Read => {
            // After a failed read, the key is assumed to be held.
            let found = entry.store.get(HOLDER_KEY).await;
            let free = found.is_ok_and(|f| f.item.is_none());
            lease_state.record_read(free, time::Instant::now());
        }
        LeaseStep::Claim => claim_lease(entry, lease_state).await,
        LeaseStep::Renew => {
            let Some(lease) = lease_state.lease() else {
                return;
            };
            match entry.store.renew_lease(lease).await {
                Ok(true) => lease_state.record_renewal(now),
                Ok(false) => lease_state.record_loss(time::Instant::now()),
                // The renewal is retried until the lease has expired by this
                // entry's clock.
                Err(_) => {}
            }
        }
    }
}

/// Requests a lease and writes the key with it, if no other entry has written it.
async fn claim_lease<P: seam::Platform>(entry: &Entry<P>, lease_state: &mut pool::OrderLease) {
    let sent = time::Instant::now();
    let lease = entry
        .store
        .grant_lease(entry.settings.bounds.lease_ttl)
        .await;
    let Ok(lease) = lease else {
        lease_state.record_loss(time::Instant::now());
        return;
    };
    let host = entry.settings.host.as_bytes();
    let swapped = entry
        .store
        .compare_and_swap(HOLDER_KEY, None, host, Some(lease))
        .await;
    let now = time::Instant::now();
    match swapped {
        Ok(seam::SwapResult::Done(fence)) => {
            trace::LogLine::new("orders_taken")
                .with("fence", fence)
                .info();
            lease_state.record_claim(lease, fence, sent, now);
        }
        // If the response was lost, the key may have been written; it then
        // expires unused.
        Ok(_) | Err(_) => lease_state.record_loss(now),
    }
}

/// Sends one order, after renewing the lease. Returns whether the engine is
/// taking the role, or may be.
async fn give_order<P: seam::Platform>(
    entry: &Entry<P>,
    lease_state: &mut pool::OrderLease,
    change: &pool::RoleChange,
    fence: seam::Revision,
) -> bool {
    let Some(target) = entry.target(&change.id) else {
        return false;
    };
    let Some(status) = entry.upstreams.engine_status(&target).await else {
        return false;
    };
    if status.switching || status.role == Some(change.role) {
        return status.role == Some(change.role);
    }
    let sent = time::Instant::now();
    let Some(lease) = lease_state.lease() else {
        return false;
    };
    match entry.store.renew_lease(lease).await {
        Ok(true) => lease_state.record_renewal(sent),
        Ok(false) => {
            lease_state.record_loss(time::Instant::now());
            return false;
        }
        Err(_) => return false,
    }
    if lease_state.fence(ORDER_TIMEOUT, time::Instant::now()) != Some(fence) {
        return false;
    }
    let order = seam::RoleOrder {
        role: change.role,
        holder: entry.settings.host.clone(),
        fence,
        expected_count: status.order_count,
    };
    let outcome = entry.upstreams.send_order(&target, &order).await;
    trace::LogLine::new("order")
        .with("engine", &change.id)
        .with("part", telemetry::role_label(Some(change.role)))
        .with("fence", fence)
        .with("answer", format!("{outcome:?}"))
        .info();
    // An order without a response may have been accepted.
    matches!(
        outcome,
        seam::OrderOutcome::Taken | seam::OrderOutcome::Failed
    )
}

/// Returns the engines of a service with their current or ordered role.
fn role_candidates<P: seam::Platform>(
    entry: &Entry<P>,
    service: &str,
    pool: &EnginePool,
    now: time::Instant,
) -> Vec<pool::RoleCandidate> {
    let host_list = entry.host_list.borrow();
    let role_changes = entry.role_changes.borrow();
    let (decode_pool, prefill_pool) = (pool.decode_pool.borrow(), pool.prefill_pool.borrow());
    let speeds = entry.prefill_speeds(pool);
    let ready = host_list.ready(service);
    let notices = entry.notices.borrow();
    ready
        .filter(|m| !notices.is_leaving(&m.id) && !notices.is_evacuated(&m.id))
        .filter_map(|m| {
            let listed_role = m.role?;
            let change = role_changes.get(&m.id).filter(|(_, until)| *until > now);
            let role = change.map_or(listed_role, |(role, _)| *role);
            Some(pool::RoleCandidate {
                id: m.id.clone(),
                role,
                load: decode_pool.load(&m.id, now).memory.now() + prefill_pool.backlog(&m.id, now),
                speed: speeds.get(&m.id).copied(),
                accepts_calls: notices.allows(&m.id, now),
            })
        })
        .collect()
}

/// Returns the demand of all entries together for prefill and for decode, each
/// as the number of engines that it keeps busy.
fn total_demand<P: seam::Platform>(
    entry: &Entry<P>,
    service: &Name,
    pool: &EnginePool,
    engines: &[pool::RoleCandidate],
    now: time::Instant,
) -> (f64, f64) {
    let mut total = entry
        .current_demand(now)
        .get(service)
        .copied()
        .unwrap_or_default();
    for peer in entry.peers.borrow().values() {
        let Some((heard, message)) = &peer.last_message else {
            continue;
        };
        if heard.is_valid(MESSAGE_TTL, now) {
            let peer_demand = message.demand.get(service).copied().unwrap_or_default();
            total.prompt += peer_demand.prompt;
            total.stream += peer_demand.stream;
        }
    }
    let known_speeds: Vec<f64> = engines.iter().filter_map(|e| e.speed).collect();
    let speed = match known_speeds.len() {
        0 => DEFAULT_SPEED,
        count => known_speeds.iter().sum::<f64>() / count as f64,
    };
    let capacity = pool.spec.borrow().capacity_tokens.max(1) as f64;
    (total.prompt / speed, total.stream / capacity)
}
