//! Reads trails back from the object store and checks their hash chains.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use sapphirewalk_core::time::TimePoint;

use crate::audit::codec;
use crate::audit::record::AuditRecord;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// The prefix of all trails in the object store.
pub const TRAIL_PREFIX: &str = "audit/";
/// The prefix of the table rows that anchor the trails' heads.
pub const ANCHOR_PREFIX: &str = "audit-head/";

/// The last record that a process knows to be stored; a row of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TrailAnchor {
    /// The record's number.
    pub number: u64,
    /// The record's hash.
    pub hash: String,
}

/// One process's trail.
#[derive(Clone, Debug)]
pub struct ProcessTrail {
    /// `audit/VM.INCARNATION/ROLE/PROCESS/`.
    pub prefix: String,
    /// The lines in the order of the objects' names.
    pub lines: Vec<TrailLine>,
    /// The head that the table service holds, if any.
    pub anchor: Option<TrailAnchor>,
}

/// One line of a trail.
#[derive(Clone, Debug)]
pub enum TrailLine {
    /// A record, as yet unchecked.
    Record(Box<AuditRecord>),
    /// A line that is no record, in the object named.
    Unreadable {
        /// The object.
        object: String,
    },
}

/// A fault of a trail.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TrailFault {
    /// A line is no record.
    Unreadable {
        /// The object.
        object: String,
    },
    /// The record's hash is not that of its fields.
    Changed {
        /// The record's number.
        number: u64,
    },
    /// Records are missing before this one.
    Missing {
        /// The number that was due.
        expected: u64,
        /// The number found.
        found: u64,
    },
    /// The record stands after one with a number as high or higher.
    Reordered {
        /// The record's number.
        number: u64,
    },
    /// The record does not follow from the one before.
    BrokenChain {
        /// The record's number.
        number: u64,
    },
    /// The trail ends before the record that the table service anchors.
    Truncated {
        /// The anchored number.
        anchored: u64,
        /// The last number found.
        last: u64,
    },
    /// The anchored record has another hash.
    AnchorDiffers {
        /// The anchored number.
        number: u64,
    },
}

impl fmt::Display for TrailFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { object } => write!(formatter, "unreadable line in {object}"),
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
    /// The records, without unreadable lines.
    pub fn records(&self) -> impl Iterator<Item = &AuditRecord> {
        self.lines.iter().filter_map(|line| match line {
            TrailLine::Record(record) => Some(record.as_ref()),
            TrailLine::Unreadable { .. } => None,
        })
    }

    /// All faults of the trail, in order.
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

/// Reads all trails whose objects may hold records made between `from` and `to`.
///
/// With both ends open the trails are whole and can be verified.
///
/// # Errors
///
/// When the platform gives no answer.
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

/// The name of the object that holds records from `number` on, the first made at `at`.
pub fn object_name(prefix: &str, at: TimePoint, number: u64) -> String {
    format!("{prefix}{:013}.{number:012}", at.as_millis())
}

/// The key of the row that anchors a trail's head.
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

fn prefix_of(name: &str) -> Option<&str> {
    name.rfind('/').map(|position| &name[..=position])
}

fn overlaps(name: &str, next: Option<&str>, from: TimePoint, to: TimePoint) -> bool {
    let starts_in_time = first_record_time(name).is_none_or(|first| first <= to);
    let ends_in_time = next
        .and_then(first_record_time)
        .is_none_or(|next| next >= from);
    starts_in_time && ends_in_time
}

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
