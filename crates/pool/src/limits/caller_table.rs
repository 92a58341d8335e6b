//! Decides whose connection is closed where callers hold more connections than an entry has
//! room for.
//!
//! It answers crowds of clients that begin requests and don't end them, or take no bytes of
//! their answers. A request that has been passed on is never given up for another one.

use std::collections;
use std::time;

/// Descriptors of a process that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the other descriptors that callers' connections may take. The rest is for the
/// connections to upstream hosts, the store and peers.
const CALLER_SHARE: f64 = 0.6;
/// The fewest connections that callers may have.
const MIN_CALLERS: usize = 16;
/// How long a caller may send nothing of its request before another one has its place.
const MIN_STALL: time::Duration = time::Duration::from_millis(500);
/// How long a caller may take to send a request before another one has its place.
const MIN_UPLOAD: time::Duration = time::Duration::from_secs(3);
/// How long a caller that was refused may go on sending before its connection is closed for
/// another one.
const MIN_REFUSED: time::Duration = time::Duration::from_millis(200);
/// How long a caller may take no bytes of its answer before its connection is closed for
/// another one.
const MIN_BLOCKED: time::Duration = time::Duration::from_secs(2);
/// How long a connection is idle at least before it is closed for another one.
const MIN_IDLE: time::Duration = time::Duration::from_secs(2);
/// The same times where a newcomer would be refused otherwise. A host whose processor is capped
/// may read nothing for a tenth of a second, so the first must be longer than that.
const PRESSED_UPLOAD: time::Duration = time::Duration::from_millis(150);
const PRESSED_IDLE: time::Duration = time::Duration::from_millis(500);
const PRESSED_BLOCKED: time::Duration = time::Duration::from_millis(500);

/// Returns the number of sockets of a process that may have this number of descriptors open.
pub fn socket_descriptors(descriptors: u64) -> u64 {
    descriptors.saturating_sub(FILE_DESCRIPTORS)
}

/// Identifies a caller's connection within its entry; later ones have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(u64);

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerStage {
    /// It has sent no whole head since it was opened or since its last answer.
    Unfinished,
    /// The body of its request has not arrived to its end.
    Uploading,
    /// Its request was refused before its body had arrived to its end.
    Refused,
    /// Its request is served.
    Served,
    /// Bytes of its answer are ready and the caller takes none.
    Blocked,
    /// Its last answer has been sent.
    Idle,
}

/// What is done with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Accepted(CallerId),
    /// It is served, and this other one is closed for it.
    Replaced(CallerId, CallerId),
    /// It is closed.
    Refused,
}

/// What is given up to make room in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The connection is closed.
    Close(CallerId),
    /// Its request is refused, and its caller is told.
    Refuse(CallerId),
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    stage: CallerStage,
    since: time::Instant,
    /// When it sent the last bytes, or its stage began.
    active_at: time::Instant,
    /// Whether one of its requests has been answered.
    was_answered: bool,
}

/// The callers' connections of an entry.
#[derive(Clone, Debug)]
pub struct CallerTable {
    limit: usize,
    last_id: u64,
    callers: collections::BTreeMap<CallerId, Caller>,
}

impl CallerTable {
    /// Creates the table of a process that may have this number of descriptors open.
    pub fn new(descriptors: u64) -> Self {
        let limit = (socket_descriptors(descriptors) as f64 * CALLER_SHARE) as usize;
        Self::with_limit(limit.max(MIN_CALLERS))
    }

    /// Creates the table of a listener that has this number of connections at most.
    pub fn with_limit(limit: usize) -> Self {
        Self {
            limit,
            last_id: 0,
            callers: collections::BTreeMap::new(),
        }
    }

    /// Decides on a new connection.
    pub fn admit(&mut self, now: time::Instant) -> Admission {
        if self.callers.len() < self.limit {
            return Admission::Accepted(self.add(now));
        }
        let Some(evicted) = self.pick(now).or_else(|| self.pick_pressed(now)) else {
            return Admission::Refused;
        };
        self.callers.remove(&evicted);
        Admission::Replaced(self.add(now), evicted)
    }

    /// Picks what is given up to make room in memory; none if all callers are served or have
    /// begun a moment ago.
    pub fn evict(&mut self, now: time::Instant) -> Option<Eviction> {
        let id = self.pick(now)?;
        Some(self.give_up(id, now))
    }

    /// Picks what is given up to make room in memory for a new connection, which may be that of
    /// an ordinary caller: also one that is in the way of others for a shorter time.
    pub fn evict_for_connection(&mut self, now: time::Instant) -> Option<Eviction> {
        let id = self.pick(now).or_else(|| self.pick_pressed(now))?;
        Some(self.give_up(id, now))
    }

    fn give_up(&mut self, id: CallerId, now: time::Instant) -> Eviction {
        if self.callers.get(&id).map(|c| c.stage) == Some(CallerStage::Uploading) {
            self.set_stage(id, CallerStage::Refused, now);
            return Eviction::Refuse(id);
        }
        self.callers.remove(&id);
        Eviction::Close(id)
    }

    /// Records that bytes of a request have arrived.
    pub fn record_bytes(&mut self, id: CallerId, now: time::Instant) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.active_at = now;
        }
    }

    /// Records what a connection is doing from now on. One that was evicted stays so.
    pub fn set_stage(&mut self, id: CallerId, stage: CallerStage, now: time::Instant) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let was_served = matches!(caller.stage, CallerStage::Served | CallerStage::Blocked);
        caller.was_answered |= stage == CallerStage::Idle && was_served;
        if caller.stage != stage {
            caller.stage = stage;
            caller.since = now;
            caller.active_at = now;
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: CallerId) {
        self.callers.remove(&id);
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    /// Returns the number of connections that callers may have.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Picks the connection whose place another one gets. Callers that were refused come
    /// first, then those that stopped within a request, the ones that never ended one before
    /// others, those that take long for a request, those that take no answer, and those that
    /// are idle; among equals, the one that has been so for longest.
    fn pick(&self, now: time::Instant) -> Option<CallerId> {
        self.pick_by(|caller| caller.place(now))
    }

    /// Picks a connection where all are younger than [`Self::pick`] asks for. Clients that send a
    /// little now and then would hold all places otherwise.
    fn pick_pressed(&self, now: time::Instant) -> Option<CallerId> {
        self.pick_by(|caller| caller.pressed_place(now))
    }

    fn pick_by(&self, place: impl Fn(&Caller) -> Option<Place>) -> Option<CallerId> {
        let candidates = self.callers.iter();
        let candidates = candidates.filter_map(|(id, caller)| Some((place(caller)?, *id)));
        candidates.min().map(|(_, id)| id)
    }

    fn add(&mut self, now: time::Instant) -> CallerId {
        self.last_id += 1;
        let id = CallerId(self.last_id);
        let caller = Caller {
            stage: CallerStage::Unfinished,
            since: now,
            active_at: now,
            was_answered: false,
        };
        self.callers.insert(id, caller);
        id
    }
}

/// Place in the order in which connections are given up: a rank, and when it was reached.
type Place = (u8, time::Instant);

impl Caller {
    /// Returns the place of this connection in the order in which they are given up; none if
    /// it is kept.
    fn place(&self, now: time::Instant) -> Option<Place> {
        let lasts = |from: time::Instant, least| now.saturating_duration_since(from) >= least;
        let is_sending = matches!(self.stage, CallerStage::Unfinished | CallerStage::Uploading);
        if is_sending && lasts(self.active_at, MIN_STALL) {
            return Some((1 + u8::from(self.was_answered), self.active_at));
        }
        let (rank, least) = match self.stage {
            CallerStage::Refused => (0, MIN_REFUSED),
            CallerStage::Unfinished | CallerStage::Uploading => (3, MIN_UPLOAD),
            CallerStage::Blocked => (4, MIN_BLOCKED),
            CallerStage::Idle => (5, MIN_IDLE),
            CallerStage::Served => return None,
        };
        lasts(self.since, least).then_some((rank, self.since))
    }

    /// Returns the place of this connection where a newcomer would be refused otherwise: first
    /// requests that have not come, of callers that never ended one before others; then callers
    /// that are idle; then answers that aren't taken.
    fn pressed_place(&self, now: time::Instant) -> Option<Place> {
        let (rank, least) = match self.stage {
            CallerStage::Unfinished | CallerStage::Uploading => {
                (u8::from(self.was_answered), PRESSED_UPLOAD)
            }
            CallerStage::Idle => (2, PRESSED_IDLE),
            CallerStage::Blocked => (3, PRESSED_BLOCKED),
            CallerStage::Refused | CallerStage::Served => return None,
        };
        let lasts = now.saturating_duration_since(self.since) >= least;
        lasts.then_some((rank, self.since))
    }
}
