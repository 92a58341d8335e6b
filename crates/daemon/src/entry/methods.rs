//! The RPC methods that an entry offers to its peers.

use crate::entry::state::Entry;
use jsonrpsee::core;
use jsonrpsee::server;
use std::sync;
use std::time;
use wire::api::EntryServer;
use wire::api::PeerServer;
use wire::border;

/// Implements an entry's methods of [`wire::api`].
#[derive(Clone)]
pub(crate) struct EntryMethods {
    pub entry: sync::Arc<Entry>,
}

#[core::async_trait]
impl PeerServer for EntryMethods {
    async fn hello(&self) -> core::RpcResult<border::Hello> {
        let settings = &self.entry.settings;
        let load = self.entry.load.current();
        Ok(border::Hello {
            host: settings.host.to_string(),
            zone: settings.zone.to_string(),
            role: border::Role::Entry,
            upstream: String::new(),
            incarnation: self.entry.incarnation,
            revision: load.revision,
            epoch: load.epoch,
            draining: load.draining,
        })
    }

    async fn snapshot(&self) -> core::RpcResult<border::Snapshot> {
        if !self.entry.can_authorize() {
            // The peer cannot parse empty texts, so it asks another entry.
            return Ok(border::Snapshot {
                document: String::new(),
                division: String::new(),
            });
        }
        let configuration = self.entry.configuration();
        let document = configuration.and_then(|c| serde_json::to_string(&*c).ok());
        let allowances = self.entry.allowances.lock();
        let division = allowances.shares.division();
        let division = division.and_then(|d| serde_json::to_string(d).ok());
        Ok(border::Snapshot {
            document: document.unwrap_or_default(),
            division: division.unwrap_or_default(),
        })
    }

    async fn load(&self, pending: server::PendingSubscriptionSink) -> core::SubscriptionResult {
        self.entry.load.serve(pending).await
    }
}

#[core::async_trait]
impl EntryServer for EntryMethods {
    async fn lend(&self, loan: border::Loan) -> core::RpcResult<border::Lent> {
        if !self.entry.can_authorize() {
            return Ok(border::Lent { tokens: 0 });
        }
        let id = quota::ChargeId(loan.charge);
        let now = time::Instant::now();
        let mut allowances = self.entry.allowances.lock();
        let lent = allowances
            .escrow
            .lend(&loan.organisation, &id, loan.tokens as f64, now);
        Ok(border::Lent {
            tokens: lent as u64,
        })
    }

    async fn settle(&self, settle: border::Settle) -> core::RpcResult<bool> {
        let id = quota::ChargeId(settle.charge);
        let now = time::Instant::now();
        let mut allowances = self.entry.allowances.lock();
        allowances
            .escrow
            .settle(&settle.organisation, &id, settle.used as f64, now);
        Ok(true)
    }

    async fn crash(&self, crash: border::Crash) -> core::RpcResult<bool> {
        let Some(digest) = route::Digest::parse(&crash.digest) else {
            return Ok(false);
        };
        let id = route::CrashId {
            host: crash.host.into(),
            count: crash.count,
        };
        let now = time::Instant::now();
        let mut placement = self.entry.placement.lock();
        Ok(placement.quarantine.record_crash(digest, id, now))
    }
}
