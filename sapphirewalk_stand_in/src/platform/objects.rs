//! The object store: objects that are written once.

use bytes::Bytes;

use sapphirewalk_wire::platform as wire;

#[derive(Debug)]
struct StoredObject {
    name: String,
    body: Bytes,
}

/// All objects.
#[derive(Debug, Default)]
pub(super) struct ObjectStore {
    /// Sorted by name.
    objects: Vec<StoredObject>,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PutOutcome {
    /// The object is new and is stored.
    Stored,
    /// An object of this name existed; it is unchanged.
    Exists,
}

impl ObjectStore {
    pub fn put(&mut self, name: &str, body: Bytes) -> PutOutcome {
        let Err(position) = self.search(name) else {
            return PutOutcome::Exists;
        };
        let object = StoredObject {
            name: name.to_owned(),
            body,
        };
        self.objects.insert(position, object);
        PutOutcome::Stored
    }

    pub fn overwrite(&mut self, name: &str, body: Bytes) {
        if let Ok(position) = self.search(name) {
            self.objects[position].body = body;
        }
    }

    pub fn get(&self, name: &str) -> Option<Bytes> {
        let position = self.search(name).ok()?;
        Some(self.objects[position].body.clone())
    }

    pub fn names(&self) -> Vec<String> {
        let names = self.objects.iter().map(|object| object.name.clone());
        names.collect()
    }

    pub fn list(&self, request: &wire::ObjectListRequest) -> wire::ObjectList {
        let after = request.after.as_deref().unwrap_or_default();
        let mut matches = self
            .objects
            .iter()
            .filter(|object| object.name.starts_with(&request.prefix))
            .filter(|object| object.name.as_str() > after)
            .map(|object| object.name.clone());
        let names = matches.by_ref().take(request.limit as usize).collect();
        wire::ObjectList {
            names,
            more: matches.next().is_some(),
        }
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|object| object.name.as_str().cmp(name))
    }
}
