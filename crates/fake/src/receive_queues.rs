//! Bytes that the kernel has received for a process and that it has not read yet.

use std::collections;
use std::fs;
use std::net;

/// State of a listening socket, whose receive queue counts connections.
const LISTEN: &str = "0A";

/// A socket as the kernel lists it.
struct SocketRow {
    local: net::SocketAddrV4,
    state: String,
    unread_bytes: usize,
    /// 0 if the connection has not been accepted yet.
    inode: u64,
}

impl SocketRow {
    fn parse(line: &str) -> Option<Self> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, unread) = fields.get(4)?.split_once(':')?;
        Some(Self {
            local: parse_address(fields.get(1)?)?,
            state: (*fields.get(3)?).to_owned(),
            unread_bytes: usize::from_str_radix(unread, 16).ok()?,
            inode: fields.get(9)?.parse().ok()?,
        })
    }
}

/// Returns the bytes that a process has not read, on its open sockets and on connections to
/// its listeners that it has not accepted; none if it isn't running.
pub(crate) fn unread_bytes(process: u32, listeners: &[net::SocketAddr]) -> Option<usize> {
    let inodes = socket_inodes(process)?;
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let rows = table.lines().skip(1).filter_map(SocketRow::parse);
    let own = rows.filter(|row| {
        let is_waiting = row.inode == 0 && listeners.contains(&row.local.into());
        row.state != LISTEN && (is_waiting || inodes.contains(&row.inode))
    });
    Some(own.map(|row| row.unread_bytes).sum())
}

fn socket_inodes(process: u32) -> Option<collections::BTreeSet<u64>> {
    let folder = fs::read_dir(format!("/proc/{process}/fd")).ok()?;
    let targets = folder.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let inodes = targets.filter_map(|target| {
        let name = target.to_str()?;
        let inode = name.strip_prefix("socket:[")?.strip_suffix(']')?;
        inode.parse().ok()
    });
    Some(inodes.collect())
}

/// Parses an address such as `0100007F:1F90`, whose first part is in the machine's byte order.
fn parse_address(text: &str) -> Option<net::SocketAddrV4> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(net::SocketAddrV4::new(ip.to_ne_bytes().into(), port))
}
