//! The table service: versioned rows that change in conditional transactions.

use sapphirewalk_wire::platform as wire;

/// All rows, each with the version of its last change.
#[derive(Debug, Default)]
pub(super) struct TableStore {
    /// Sorted by key.
    rows: Vec<wire::TableRow>,
    /// The version of the last commit, over all rows.
    version: u64,
}

impl TableStore {
    pub fn row(&self, key: &str) -> Option<&wire::TableRow> {
        self.search(key).ok().map(|position| &self.rows[position])
    }

    /// The rows whose keys start with `prefix`, in key order.
    pub fn rows(&self, prefix: &str) -> &[wire::TableRow] {
        let start = self.rows.partition_point(|row| row.key.as_str() < prefix);
        let tail = &self.rows[start..];
        let length = tail.partition_point(|row| row.key.starts_with(prefix));
        &tail[..length]
    }

    pub fn put_row(&mut self, key: &str, value: &str) -> u64 {
        self.version += 1;
        self.write(key, value);
        self.version
    }

    pub fn transact(&mut self, request: &wire::TransactionRequest) -> wire::TransactionReply {
        let failed = request
            .conditions
            .iter()
            .find(|condition| self.row_version(&condition.key) != condition.version);
        if let Some(condition) = failed {
            return wire::TransactionReply::Conflict {
                key: condition.key.clone(),
            };
        }
        self.version += 1;
        for change in &request.changes {
            match change {
                wire::RowChange::Put { key, value } => self.write(key, value),
                wire::RowChange::Delete { key } => self.remove(key),
            }
        }
        wire::TransactionReply::Committed {
            version: self.version,
        }
    }

    pub fn read(&self, request: &wire::ReadRequest) -> wire::RowList {
        let mut keys: Vec<&str> = request.keys.iter().map(String::as_str).collect();
        keys.sort_unstable();
        keys.dedup();
        let rows = keys.into_iter().filter_map(|key| self.row(key)).cloned();
        wire::RowList {
            rows: rows.collect(),
            more: false,
        }
    }

    pub fn scan(&self, request: &wire::ScanRequest) -> wire::RowList {
        let rows = self.rows(&request.prefix);
        let start = match &request.after {
            Some(after) => rows.partition_point(|row| row.key <= *after),
            None => 0,
        };
        let limit = request.limit.min(wire::SCAN_ROWS_MAX) as usize;
        let rest = &rows[start..];
        let taken = rest.len().min(limit);
        wire::RowList {
            rows: rest[..taken].to_vec(),
            more: taken < rest.len(),
        }
    }

    fn row_version(&self, key: &str) -> Option<u64> {
        self.row(key).map(|row| row.version)
    }

    fn write(&mut self, key: &str, value: &str) {
        let row = wire::TableRow {
            key: key.to_owned(),
            version: self.version,
            value: value.to_owned(),
        };
        match self.search(key) {
            Ok(position) => self.rows[position] = row,
            Err(position) => self.rows.insert(position, row),
        }
    }

    fn remove(&mut self, key: &str) {
        if let Ok(position) = self.search(key) {
            self.rows.remove(position);
        }
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }
}
