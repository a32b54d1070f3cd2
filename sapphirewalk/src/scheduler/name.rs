//! Names of shards, and the assignment of tasks and workers to shards.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

use sapphirewalk_wire::bundle::DomainEntry;
use sapphirewalk_wire::row;

/// Separates the submission key from the number of moves in the ID of a moved task.
const MOVE_SEPARATOR: char = '~';
/// Leading bytes of a digest that form a rank.
const RANK_BYTES: usize = 8;

/// Identifies a shard in the table's keys, in task IDs and among the peers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShardName {
    /// The name of the shard's failure domain.
    pub domain: String,
    /// The shard's index in its domain, from 0.
    pub index: u32,
}

impl ShardName {
    /// The key of the row that records the shard's holder.
    pub fn row_key(&self) -> String {
        row::shard_key(&self.domain, self.index)
    }

    /// The prefix of the IDs of all tasks of the shard.
    pub fn id_prefix(&self) -> String {
        row::task_id(&self.domain, self.index, "")
    }

    /// The ID that a task with submission key `key` has in this shard.
    pub fn task_id(&self, key: &str) -> String {
        row::task_id(&self.domain, self.index, key)
    }
}

impl fmt::Display for ShardName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.domain, self.index)
    }
}

/// All shards of the failure domains, ordered by domain as given, then by index.
pub fn all_shards(domains: &[DomainEntry]) -> Vec<ShardName> {
    domains.iter().flat_map(shards_of).collect()
}

/// The shards of one failure domain, by index.
pub fn shards_of(entry: &DomainEntry) -> impl Iterator<Item = ShardName> + '_ {
    (0..entry.shards).map(|index| ShardName {
        domain: entry.name.clone(),
        index,
    })
}

/// The shard in which the row of a submission with this key is inserted. It depends only on the key
/// and the bundle, so a repeated submission finds the row through any entry VM. `None` if the
/// bundle has no shards.
pub fn home_shard(key: &str, domains: &[DomainEntry]) -> Option<ShardName> {
    choose(key, all_shards(domains).into_iter())
}

/// The shard to which the workers of a rack belong; `None` if the failure domain has no shards.
pub fn rack_shard(rack: &str, entry: &DomainEntry) -> Option<ShardName> {
    choose(rack, shards_of(entry))
}

/// The part of a task's ID after the shard's prefix, once the task has moved `moves` times. The ID
/// is unused, since submission keys contain no `~`.
pub fn moved_key(key: &str, moves: u32) -> String {
    format!("{key}{MOVE_SEPARATOR}{moves}")
}

/// Splits the part of a task's ID after the shard's prefix into the submission key and the number
/// of times the task has moved.
pub fn split_key(rest: &str) -> (&str, u32) {
    match rest.split_once(MOVE_SEPARATOR) {
        Some((key, moves)) => (key, moves.parse().unwrap_or(0)),
        None => (rest, 0),
    }
}

/// The shard whose prefix a task ID has; `None` if the bundle has no such shard.
pub fn shard_of_id(id: &str, domains: &[DomainEntry]) -> Option<ShardName> {
    all_shards(domains)
        .into_iter()
        .find(|shard| id.starts_with(&shard.id_prefix()))
}

/// A pseudorandom rank of a pair of names, the same on every VM.
pub fn rank(left: &str, right: &str) -> u64 {
    let digest = Sha256::digest(format!("{left}\n{right}").as_bytes());
    let mut bytes = [0; RANK_BYTES];
    bytes.copy_from_slice(&digest[..RANK_BYTES]);
    u64::from_be_bytes(bytes)
}

/// Chooses the shard with the highest rank (rendezvous hashing), so that few names change their
/// shard when a shard is added.
fn choose(name: &str, shards: impl Iterator<Item = ShardName>) -> Option<ShardName> {
    shards.max_by_key(|shard| rank(name, &shard.id_prefix()))
}
