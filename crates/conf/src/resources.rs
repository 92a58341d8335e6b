//! What a process may take of its host.

use crate::fields;
use world::Role;

/// Memory and descriptors that an entry may take for its callers and itself. Callers beyond
/// them are refused (docs/OPERATIONS.md, "Clients press beyond the limits").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory in megabytes; 512 by default.
    pub memory_mb: u64,
    /// Open file descriptors; 4,096 by default. The process's own limit binds where it is lower.
    pub descriptors: u64,
}

impl Resources {
    /// The least memory in megabytes with which an entry serves.
    const MIN_MEMORY_MB: u64 = 64;
    /// The least number of descriptors with which an entry serves.
    const MIN_DESCRIPTORS: u64 = 256;

    /// Reads the fields of a settings file; only an entry has them.
    pub(crate) fn read(top: &mut fields::Fields<'_>, role: Option<Role>) -> Self {
        let default = Self::default();
        Self {
            memory_mb: read_field(top, role, "memory_mb", Self::MIN_MEMORY_MB)
                .unwrap_or(default.memory_mb),
            descriptors: read_field(top, role, "descriptors", Self::MIN_DESCRIPTORS)
                .unwrap_or(default.descriptors),
        }
    }
}

impl Default for Resources {
    fn default() -> Self {
        Self {
            memory_mb: 512,
            descriptors: 4_096,
        }
    }
}

fn read_field(
    top: &mut fields::Fields<'_>,
    role: Option<Role>,
    field: &'static str,
    min: u64,
) -> Option<u64> {
    let value: u64 = top.optional_value(field, "a whole number")?;
    let position = top.field_position(field);
    match role {
        Some(Role::Entry) | None if value >= min => return Some(value),
        Some(Role::Entry) | None => {
            top.report(
                position,
                format!("`{field}` must be at least {min}, not {value}"),
            );
        }
        Some(_) => top.report(position, format!("only an entry has `{field}`")),
    }
    None
}
