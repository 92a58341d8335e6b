use crate::line::Line;
use crate::line::Ticket;
use crate::urgency::Urgency;
use std::collections;
use std::time;

/// The decode seats and memory of one engine, and the bids that wait.
///
/// One agent decides for one engine, so two entries never oversubscribe it.
#[derive(Clone, Debug)]
pub struct Seats {
    seats: u32,
    pieces: u32,
    held: collections::BTreeMap<Ticket, u32>,
    line: Line<u32>,
    draining: bool,
}

impl Seats {
    /// Begins with all seats and pieces free.
    pub fn new(seats: u32, pieces: u32) -> Self {
        Self {
            seats,
            pieces,
            held: collections::BTreeMap::new(),
            line: Line::new(),
            draining: false,
        }
    }

    /// Takes a bid; gives false where the engine could never hold it or is
    /// being emptied.
    pub fn bid(
        &mut self,
        ticket: Ticket,
        pieces: u32,
        urgency: Urgency,
        work: time::Duration,
    ) -> bool {
        if self.draining || pieces > self.pieces {
            return false;
        }
        self.line.join(ticket, urgency, work, pieces);
        true
    }

    /// Frees what a ticket holds or ends its wait; may be repeated.
    pub fn leave(&mut self, ticket: Ticket) {
        self.held.remove(&ticket);
        self.line.leave(ticket);
    }

    /// Grants seats for as long as one is free; the grants hold from now on.
    pub fn grant(&mut self, now: time::Instant) -> Vec<Ticket> {
        let mut granted = Vec::new();
        while self.free_seats() > 0 {
            let free = self.free_pieces();
            let Some(waiter) = self.line.take(now, |pieces| *pieces <= free) else {
                break;
            };
            self.held.insert(waiter.ticket, waiter.need);
            granted.push(waiter.ticket);
        }
        granted
    }

    /// Takes no bids from now on; gives those that still wait, to be refused.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.draining = true;
        let waiting: Vec<Ticket> = self.line.iter().map(|w| w.ticket).collect();
        for ticket in &waiting {
            self.line.leave(*ticket);
        }
        waiting
    }

    /// Seats that nobody holds.
    pub fn free_seats(&self) -> u32 {
        self.seats - u32::try_from(self.held.len()).unwrap_or(self.seats)
    }

    /// Pieces that nobody holds.
    pub fn free_pieces(&self) -> u32 {
        self.pieces - self.held.values().sum::<u32>()
    }

    /// Bids that wait.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Tells whether a ticket holds a seat.
    pub fn holds(&self, ticket: Ticket) -> bool {
        self.held.contains_key(&ticket)
    }
}
