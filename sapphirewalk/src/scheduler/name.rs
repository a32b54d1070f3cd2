//! Names of shards, and which shard a task or a worker belongs to.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

use sapphirewalk_wire::bundle::DomainEntry;
use sapphirewalk_wire::row;

/// Stands between a submission key and the number of the task's moves.
const MOVE_SEPARATOR: char = '~';
/// Bytes of a digest that rank a shard.
const RANK_BYTES: usize = 8;

/// A shard of a failure domain.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShardName {
    /// The failure domain.
    pub domain: String,
    /// The shard's index in its domain.
    pub index: u32,
}

impl ShardName {
    /// The key of the shard's row.
    pub fn row_key(&self) -> String {
        row::shard_key(&self.domain, self.index)
    }

    /// The prefix of the IDs of the shard's tasks.
    pub fn id_prefix(&self) -> String {
        row::task_id(&self.domain, self.index, "")
    }

    /// The ID of the task with a submission key.
    pub fn task_id(&self, key: &str) -> String {
        row::task_id(&self.domain, self.index, key)
    }
}

impl fmt::Display for ShardName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.domain, self.index)
    }
}

/// All shards of the failure domains.
pub fn all_shards(domains: &[DomainEntry]) -> Vec<ShardName> {
    domains.iter().flat_map(shards_of).collect()
}

/// The shards of a failure domain.
pub fn shards_of(entry: &DomainEntry) -> impl Iterator<Item = ShardName> + '_ {
    (0..entry.shards).map(|index| ShardName {
        domain: entry.name.clone(),
        index,
    })
}

/// The shard in which a submission's row is, whichever entry VM takes it.
pub fn home_shard(key: &str, domains: &[DomainEntry]) -> Option<ShardName> {
    choose(key, all_shards(domains).into_iter())
}

/// The shard that the workers of a rack belong to.
pub fn rack_shard(rack: &str, entry: &DomainEntry) -> Option<ShardName> {
    choose(rack, shards_of(entry))
}

/// The part of a task's ID that follows its shard, when it has moved `moves` times. Submission keys
/// have no `~`, so that it is new.
pub fn moved_key(key: &str, moves: u32) -> String {
    format!("{key}{MOVE_SEPARATOR}{moves}")
}

/// The submission key in the part of a task's ID that follows its shard, and how often the task has
/// moved.
pub fn split_key(rest: &str) -> (&str, u32) {
    match rest.split_once(MOVE_SEPARATOR) {
        Some((key, moves)) => (key, moves.parse().unwrap_or(0)),
        None => (rest, 0),
    }
}

/// The shard that a task ID names.
pub fn shard_of_id(id: &str, domains: &[DomainEntry]) -> Option<ShardName> {
    all_shards(domains)
        .into_iter()
        .find(|shard| id.starts_with(&shard.id_prefix()))
}

/// Ranks a pair of names; equal on every VM.
pub fn rank(left: &str, right: &str) -> u64 {
    let digest = Sha256::digest(format!("{left}\n{right}").as_bytes());
    let mut bytes = [0; RANK_BYTES];
    bytes.copy_from_slice(&digest[..RANK_BYTES]);
    u64::from_be_bytes(bytes)
}

/// The shard of the highest rank: few names change their shard when a shard is added.
fn choose(name: &str, shards: impl Iterator<Item = ShardName>) -> Option<ShardName> {
    shards.max_by_key(|shard| rank(name, &shard.id_prefix()))
}
