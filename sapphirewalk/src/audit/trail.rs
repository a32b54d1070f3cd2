//! Reads trails from the object store and verifies their hash chains.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use sapphirewalk_core::time::TimePoint;

use crate::audit::codec;
use crate::audit::record::AuditRecord;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Prefix of the names of all audit objects.
pub const TRAIL_PREFIX: &str = "audit/";
/// Prefix of the keys of all anchor rows.
pub const ANCHOR_PREFIX: &str = "audit-head/";

/// Last record of a trail that is stored, kept in a row of the table service.
///
/// Without it, the removal of the last objects of a trail could not be detected.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TrailAnchor {
    /// Number of the record.
    pub number: u64,
    /// Hash of the record, in hexadecimal.
    pub hash: String,
}

/// Objects of one audit trail, in order, as read from the object store.
#[derive(Clone, Debug)]
pub struct ProcessTrail {
    /// Common prefix of the object names, `audit/VM.INCARNATION/ROLE/PROCESS/`.
    pub prefix: String,
    /// Lines of all objects that were read, in the order of the object names.
    pub lines: Vec<TrailLine>,
    /// Anchor row of the trail; `None` if none was written yet.
    pub anchor: Option<TrailAnchor>,
}

/// Line of an object.
#[derive(Clone, Debug)]
pub enum TrailLine {
    /// Parsed record, not yet verified.
    Record(Box<AuditRecord>),
    /// Line that is not a record, or a whole object that can't be decompressed.
    Unreadable {
        /// Name of the object.
        object: String,
    },
}

/// Fault found when a trail is verified.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TrailFault {
    /// A line or an object can't be read.
    Unreadable {
        /// Name of the object.
        object: String,
    },
    /// The hash of a record differs from that of its fields.
    Changed {
        /// Number of the record.
        number: u64,
    },
    /// One or more records are missing.
    Missing {
        /// Number of the first missing record.
        expected: u64,
        /// Number of the next record found.
        found: u64,
    },
    /// A record follows one with an equal or higher number.
    Reordered {
        /// Number of the record.
        number: u64,
    },
    /// The previous hash in a record is not the hash of the previous record.
    BrokenChain {
        /// Number of the record.
        number: u64,
    },
    /// The trail ends before the anchored record.
    Truncated {
        /// Number of the anchored record.
        anchored: u64,
        /// Number of the last record found; zero if there is none.
        last: u64,
    },
    /// The hash of a record differs from that in the anchor.
    AnchorDiffers {
        /// Number of the record.
        number: u64,
    },
}

impl fmt::Display for TrailFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { object } => write!(formatter, "{object} is malformed"),
            Self::Changed { number } => write!(formatter, "record {number} was changed"),
            Self::Missing { expected, found } => {
                write!(
                    formatter,
                    "records {expected} to {} are missing",
                    found.saturating_sub(1)
                )
            }
            Self::Reordered { number } => write!(formatter, "record {number} is out of order"),
            Self::BrokenChain { number } => {
                write!(
                    formatter,
                    "record {number} does not follow from the one before"
                )
            }
            Self::Truncated { anchored, last } => {
                write!(
                    formatter,
                    "ends at record {last}, but record {anchored} was stored"
                )
            }
            Self::AnchorDiffers { number } => {
                write!(formatter, "record {number} is not the one that was stored")
            }
        }
    }
}

impl ProcessTrail {
    /// All readable records, in stored order.
    pub fn records(&self) -> impl Iterator<Item = &AuditRecord> {
        self.lines.iter().filter_map(|line| match line {
            TrailLine::Record(record) => Some(record.as_ref()),
            TrailLine::Unreadable { .. } => None,
        })
    }

    /// Verifies the trail and returns all faults in order; empty if the trail is intact.
    ///
    /// Requires a trail that was read without time bounds.
    pub fn verify(&self) -> Vec<TrailFault> {
        let mut faults = Vec::new();
        let mut previous: Option<&AuditRecord> = None;
        for line in &self.lines {
            match line {
                TrailLine::Unreadable { object } => {
                    faults.push(TrailFault::Unreadable {
                        object: object.clone(),
                    });
                }
                TrailLine::Record(record) => {
                    faults.extend(check_record(previous, record));
                    previous = Some(record);
                }
            }
        }
        faults.extend(self.check_anchor(previous));
        faults
    }

    fn check_anchor(&self, last: Option<&AuditRecord>) -> Option<TrailFault> {
        let anchor = self.anchor.as_ref()?;
        let last = last.map_or(0, |record| record.number);
        match self.records().find(|record| record.number == anchor.number) {
            Some(record) if record.hash == anchor.hash => None,
            Some(_) => Some(TrailFault::AnchorDiffers {
                number: anchor.number,
            }),
            None if last < anchor.number => Some(TrailFault::Truncated {
                anchored: anchor.number,
                last,
            }),
            None => None,
        }
    }
}

fn check_record(previous: Option<&AuditRecord>, record: &AuditRecord) -> Option<TrailFault> {
    let number = record.number;
    if record.compute_hash() != record.hash {
        return Some(TrailFault::Changed { number });
    }
    let expected = previous.map_or(1, |previous| previous.number + 1);
    if number > expected {
        return Some(TrailFault::Missing {
            expected,
            found: number,
        });
    }
    if number < expected {
        return Some(TrailFault::Reordered { number });
    }
    let hash = previous.map_or("", |previous| previous.hash.as_str());
    (record.previous != hash).then_some(TrailFault::BrokenChain { number })
}

/// Reads all objects that may contain records from `from` to `to`, grouped by trail.
///
/// A trail is complete, and can be verified, only if it is read without time bounds.
///
/// # Errors
///
/// If the platform does not answer, or an anchor row is malformed.
pub async fn read_trails(
    client: &PlatformClient,
    from: TimePoint,
    to: TimePoint,
) -> Result<Vec<ProcessTrail>, PlatformError> {
    let mut trails: Vec<ProcessTrail> = Vec::new();
    let names = client.list_objects(TRAIL_PREFIX).await?;
    for (index, name) in names.iter().enumerate() {
        let Some(prefix) = prefix_of(name) else {
            continue;
        };
        if trails.last().is_none_or(|trail| trail.prefix != prefix) {
            let anchor = read_anchor(client, prefix).await?;
            trails.push(ProcessTrail {
                prefix: prefix.to_owned(),
                lines: Vec::new(),
                anchor,
            });
        }
        let next = names
            .get(index + 1)
            .filter(|next| prefix_of(next) == Some(prefix));
        if !overlaps(name, next.map(String::as_str), from, to) {
            continue;
        }
        let body = client.get_object(name).await?.unwrap_or_default();
        if let Some(trail) = trails.last_mut() {
            trail.lines.extend(parse_lines(name, &body));
        }
    }
    Ok(trails)
}

/// Name of an object whose first record has this number and time. Names sort in record order.
pub fn object_name(prefix: &str, at: TimePoint, number: u64) -> String {
    format!("{prefix}{:013}.{number:012}", at.as_millis())
}

/// Key of the anchor row of the trail with this prefix.
pub fn anchor_key(prefix: &str) -> String {
    format!("{ANCHOR_PREFIX}{}", prefix.trim_start_matches(TRAIL_PREFIX))
}

async fn read_anchor(
    client: &PlatformClient,
    prefix: &str,
) -> Result<Option<TrailAnchor>, PlatformError> {
    let row = client.read_row(&anchor_key(prefix)).await?;
    row.map(|row| serde_json::from_str(&row.value))
        .transpose()
        .map_err(|error| PlatformError::BadAnswer(error.to_string()))
}

/// Prefix of the trail that an object belongs to; `None` for a name without `/`.
fn prefix_of(name: &str) -> Option<&str> {
    name.rfind('/').map(|position| &name[..=position])
}

/// Whether an object may contain records from `from` to `to`. `next` is the name of the next object
/// of the trail, whose first record bounds the time of the last record of this one.
fn overlaps(name: &str, next: Option<&str>, from: TimePoint, to: TimePoint) -> bool {
    let starts_in_range = first_record_time(name).is_none_or(|first| first <= to);
    let ends_in_range = next
        .and_then(first_record_time)
        .is_none_or(|next| next >= from);
    starts_in_range && ends_in_range
}

/// Time of the first record of an object, from its name; `None` if the name is malformed.
fn first_record_time(name: &str) -> Option<TimePoint> {
    let (_, file) = name.rsplit_once('/')?;
    let (millis, _) = file.split_once('.')?;
    millis.parse().ok().map(TimePoint::from_millis)
}

fn parse_lines(object: &str, body: &[u8]) -> Vec<TrailLine> {
    let Ok(lines) = codec::decode(body) else {
        return vec![TrailLine::Unreadable {
            object: object.to_owned(),
        }];
    };
    lines
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| match serde_json::from_slice(line) {
            Ok(record) => TrailLine::Record(Box::new(record)),
            Err(_) => TrailLine::Unreadable {
                object: object.to_owned(),
            },
        })
        .collect()
}
