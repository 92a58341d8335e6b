//! A stream's place at a decode engine, and a prompt's at a prefill engine.

use crate::engine_pool::EnginePool;
use crate::meters;
use std::rc;
use std::time;
use world::Name;

/// Room for one stream at a decode engine. The engine's load includes it until
/// it is dropped.
#[derive(Debug)]
pub(crate) struct Seat {
    pub(crate) pool: rc::Rc<EnginePool>,
    pub(crate) engine: Name,
    /// Engine memory that the stream needs.
    pub(crate) memory: pool::MemoryForecast,
    /// Whether the engine has started the stream.
    pub(crate) has_run: bool,
    /// Whether it makes no progress.
    pub(crate) is_paused: bool,
    /// When the seat was assigned.
    pub(crate) assigned_at: time::Instant,
    /// When the needed memory was last forecast.
    pub(crate) updated_at: time::Instant,
}

impl Seat {
    /// Records whether the stream has begun and makes no progress.
    pub(crate) fn set_paused(&mut self, paused: bool) {
        if self.is_paused != paused {
            self.is_paused = paused;
            meters::meters().pauses.increment(u64::from(paused));
            let mut decode_pool = self.pool.decode_pool.borrow_mut();
            decode_pool.set_paused(&self.engine, paused);
        }
    }

    /// Replaces the memory that the stream is expected to need.
    pub(crate) fn update(&mut self, memory: pool::MemoryForecast) {
        let mut decode_pool = self.pool.decode_pool.borrow_mut();
        decode_pool.update_stream(&self.engine, self.memory, memory);
        self.memory = memory;
        self.updated_at = time::Instant::now();
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.set_paused(false);
        let mut decode_pool = self.pool.decode_pool.borrow_mut();
        decode_pool.end_stream(&self.engine, self.memory, self.has_run);
        drop(decode_pool);
        self.pool.assign_seats(time::Instant::now());
    }
}

/// A prompt assigned to a prefill engine. The engine's backlog includes it
/// until it is dropped.
pub(crate) struct PendingPrefill {
    pub(crate) pool: rc::Rc<EnginePool>,
    pub(crate) engine: Name,
    pub(crate) prompt_tokens: u64,
}

impl Drop for PendingPrefill {
    fn drop(&mut self) {
        let mut prefill_pool = self.pool.prefill_pool.borrow_mut();
        prefill_pool.end_prompt(&self.engine, self.prompt_tokens);
        drop(prefill_pool);
        self.pool.assign_seats(time::Instant::now());
    }
}
