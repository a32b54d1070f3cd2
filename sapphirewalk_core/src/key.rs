//! Typed indices into arenas, and an arena that interns names.

use serde::Deserialize;
use serde::Serialize;

macro_rules! arena_key {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        pub struct $name(pub u32);

        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds fewer than 2^32 items"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

/// A key that is an index into an arena.
pub trait ArenaKey: Copy + Ord {
    /// The key of the item at `index`.
    ///
    /// # Panics
    ///
    /// If `index` is 2^32 or more.
    fn from_index(index: usize) -> Self;

    /// The item's index in its arena.
    fn index(self) -> usize;
}

arena_key! {
    /// Key of a failure domain.
    DomainKey
}
arena_key! {
    /// Key of an entry VM.
    VmKey
}
arena_key! {
    /// Key of one incarnation of an endpoint.
    EndpointKey
}
arena_key! {
    /// Key of one incarnation of a worker.
    WorkerKey
}
arena_key! {
    /// Key of a rack of workers.
    RackKey
}
arena_key! {
    /// Key of a kind of work that the configuration bundle names.
    KindKey
}
arena_key! {
    /// Key of a user: an organisation that sends requests.
    UserKey
}
arena_key! {
    /// Key of a request that a gateway is processing.
    RequestKey
}
arena_key! {
    /// Key of a team, which has a quota of batch resources.
    TeamKey
}
arena_key! {
    /// Key of a batch task.
    TaskKey
}

/// Interned names; each distinct name gets the next key, which never changes.
#[derive(Clone, Debug)]
pub struct NameArena<K> {
    names: Vec<String>,
    /// Keys sorted by name.
    sorted_keys: Vec<K>,
}

impl<K: ArenaKey> NameArena<K> {
    /// An empty arena.
    pub const fn new() -> Self {
        Self {
            names: Vec::new(),
            sorted_keys: Vec::new(),
        }
    }

    /// The key of `name`; a new name is added.
    pub fn intern(&mut self, name: &str) -> K {
        match self.search(name) {
            Ok(position) => self.sorted_keys[position],
            Err(position) => {
                let key = K::from_index(self.names.len());
                self.names.push(name.to_owned());
                self.sorted_keys.insert(position, key);
                key
            }
        }
    }

    /// The key of `name`; none if it was never interned.
    pub fn find(&self, name: &str) -> Option<K> {
        self.search(name)
            .ok()
            .map(|position| self.sorted_keys[position])
    }

    /// The name of `key`; empty if the arena has no such key.
    pub fn name(&self, key: K) -> &str {
        self.names.get(key.index()).map_or("", String::as_str)
    }

    /// Number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.sorted_keys
            .binary_search_by(|key| self.names[key.index()].as_str().cmp(name))
    }
}

impl<K: ArenaKey> Default for NameArena<K> {
    fn default() -> Self {
        Self::new()
    }
}
