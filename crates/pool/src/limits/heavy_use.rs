//! What the store keeps of the use of allowances, in case all entries are killed.

use std::collections;
use world::Name;

/// By how many bursts a lead must have shrunk to be written again.
const SHRINKAGE: u32 = 2;

/// The organisations that are so far ahead of their rate that they could pass their
/// limit if their use was forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HeavyUse {
    /// By how many of its bursts each organisation is ahead of its rate.
    pub leads: collections::BTreeMap<Name, u32>,
}

impl HeavyUse {
    /// Returns whether the store must be told: at once of any growth, of shrinkage only
    /// now and then, since each write is a call.
    pub fn outdates(&self, stored: &HeavyUse) -> bool {
        let grew = |(name, lead): (&Name, &u32)| stored.leads.get(name).is_none_or(|s| lead > s);
        let shrank = |(name, lead): (&Name, &u32)| {
            self.leads.get(name).copied().unwrap_or_default() + SHRINKAGE <= *lead
        };
        self.leads.iter().any(grew) || stored.leads.iter().any(shrank)
    }
}
