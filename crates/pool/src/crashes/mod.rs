//! Finds what crashes engines among the requests that they held; see docs/DESIGN.md,
//! "Parts of prompts that crash engines".

mod derive;
mod evidence;
mod judge;
mod quarantine;
mod recent_answers;
mod verdict;

pub use evidence::{CrashId, CrashReport, CrashedRun, Element, ElementSet, Progress};
pub use quarantine::{CrashQuarantine, Standing, VerdictChanges};
pub use verdict::{Verdict, VerdictReport};
