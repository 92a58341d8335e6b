//! Events from engines to callers.

use crate::body::Piece;
use crate::events::Events;
use crate::measure;
use crate::queue::Seat;
use crate::stream::Begun;
use crate::stream::FIRST_TIME;
use crate::stream::Runner;
use http::StatusCode;
use seam::ByteStream;
use seam::Upstreams;
use std::time;
use tokio::sync::mpsc;

/// A stream without bytes for so long has stalled: its caller would leave after
/// two seconds at the least.
const STALL_TIME: time::Duration = time::Duration::from_millis(1_500);

impl<P: seam::Platform> Runner<P> {
    /// Passes events on, and goes on elsewhere where the route allows it.
    pub(crate) async fn pump(
        &mut self,
        begun: Begun<<P::Upstreams as Upstreams>::Body>,
        feed: mpsc::Sender<Piece>,
    ) {
        let mut events = Events::new(self.job.call.last_event);
        let mut begun = begun;
        loop {
            let end = self.pass(&mut begun, &mut events, &feed).await;
            let now = time::Instant::now();
            self.job
                .line("stream_end")
                .with("upstream", &begun.engine)
                .with("end", end.word())
                .with("events", events.passed)
                .with("first_ms", events.first.map_or(0, measure::millis))
                .with("gap_ms", measure::millis(events.gap))
                .info();
            match end {
                End::Whole => {
                    self.entry
                        .crashes
                        .borrow_mut()
                        .clear_suspect(self.job.digest);
                    self.learn(&begun.seat);
                    metrics::histogram!("answer_seconds", "kind" => "stream")
                        .record(self.job.arrived.elapsed().as_secs_f64());
                    // The caller may have gone; then nobody misses the end.
                    let _ = feed.send(Piece::End).await;
                    return;
                }
                End::Left | End::Overdue => return,
                End::Broken | End::Stalled => {
                    self.pool
                        .seats
                        .borrow_mut()
                        .record_failure(&begun.engine, now);
                    if let Some(target) = self.entry.target(&begun.engine) {
                        self.entry.suspect(self.job.digest, &target);
                    }
                }
            }
            if self.entry.crashes.borrow().is_quarantined(self.job.digest) {
                return;
            }
            let ok = begun.answer.status == StatusCode::OK;
            if !ok || self.job.route.retry != seam::RetryMode::Resumable {
                return;
            }
            events.restart();
            let (engine, after) = (begun.engine.clone(), events.last);
            drop(begun);
            self.may_have_run = true;
            let resumed = tokio::select! {
                resumed = self.begin(after) => resumed,
                () = feed.closed() => return,
            };
            begun = match resumed {
                Ok(next) if next.answer.status == StatusCode::OK => next,
                Ok(_) | Err(_) => {
                    self.job.line("stream_lost").with("upstream", engine).info();
                    return;
                }
            };
        }
    }

    fn learn(&self, seat: &Seat) {
        let held = seat.since.elapsed();
        self.entry.learn(&self.job.service, self.need(), held);
    }

    async fn pass(
        &self,
        begun: &mut Begun<<P::Upstreams as Upstreams>::Body>,
        events: &mut Events,
        feed: &mpsc::Sender<Piece>,
    ) -> End {
        let mut patience = FIRST_TIME;
        loop {
            let by = time::Instant::now() + patience;
            let next = tokio::time::timeout_at(
                by.min(self.job.deadline).into(),
                begun.answer.body.next_chunk(),
            );
            let next = tokio::select! {
                next = next => next,
                () = feed.closed() => return End::Left,
            };
            let bytes = match next {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(_))) => return End::Broken,
                Ok(None) if events.inside() => return End::Broken,
                Ok(None) => return End::Whole,
                Err(_) if self.job.left().is_zero() => return End::Overdue,
                Err(_) => return End::Stalled,
            };
            patience = STALL_TIME;
            events.time(self.job.arrived);
            if let Some(whole) = events.add(bytes)
                && feed.send(Piece::Data(whole)).await.is_err()
            {
                return End::Left;
            }
        }
    }
}

/// How an engine's part of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    Stalled,
    Left,
    Overdue,
}

impl End {
    fn word(self) -> &'static str {
        match self {
            End::Whole => "whole",
            End::Broken => "broken",
            End::Stalled => "stalled",
            End::Left => "caller_left",
            End::Overdue => "overdue",
        }
    }
}
