//! Checks a configuration of queues and pools before it is put in force, and compares it with the
//! one in force.
//!
//! It addresses hand-edited configurations: an entry that can't take effect, or limits that
//! contradict each other, are otherwise noticed only once callers are refused.

use crate::time::TimeSpan;
use crate::work_rule::AdviceRule;

/// Where a value stands in a configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SourcePlace {
    /// Bytes from the start of the text.
    pub offset: usize,
    /// Path of the value, such as `routes[2].service`; empty for the whole.
    pub path: String,
}

/// A value and where it stands. A value that is absent stands where its entry does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocatedValue<T> {
    /// The value, or its default if it is absent.
    pub value: T,
    /// Where it stands.
    pub place: SourcePlace,
}

/// A queue as it is configured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueEntry {
    /// Name of the queue; to be unique.
    pub name: LocatedValue<String>,
    /// Request host that selects the queue, together with `prefix`.
    pub host: LocatedValue<String>,
    /// Path prefix that selects the queue.
    pub prefix: LocatedValue<String>,
    /// Name of the pool whose workers run the queue's tasks.
    pub pool: LocatedValue<String>,
    /// Scheduling priority; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: LocatedValue<u32>,
    /// Factor of the objective.
    pub slowdown_factor: LocatedValue<f64>,
    /// Constant part of the objective.
    pub target_latency: TimeSpan,
    /// Time after which a request is given up; none for no limit.
    pub timeout: Option<LocatedValue<TimeSpan>>,
    /// Kind of the queue's work; none if it is not stated.
    pub kind: Option<String>,
    /// Timing of the advice service; none where no approval is needed.
    pub advice: Option<AdviceRule>,
}

/// A pool as it is configured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolEntry {
    /// Name of the pool; to be unique.
    pub name: LocatedValue<String>,
    /// The workers refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
    /// The VMs of the pool are switched off.
    pub standby: bool,
}

/// A whole configuration with the places of its values, in the order of the text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigDocument {
    /// Version number; a higher one replaces a lower one.
    pub version: LocatedValue<u64>,
    /// Queues that callers submit to.
    pub queues: Vec<QueueEntry>,
    /// Pools of workers that the queues name.
    pub pools: Vec<PoolEntry>,
    /// Longest accepted request body in bytes.
    pub max_body_bytes: u64,
}

/// How severe a finding is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FindingSeverity {
    /// The configuration would not be taken, or not as it is written.
    Error,
    /// It would be taken, and probably does not do what was meant.
    Warning,
}

/// What is wrong with a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FindingKind {
    /// The text is not JSON.
    BadSyntax,
    /// A field has a name that has no meaning.
    UnknownField,
    /// A required field is missing.
    MissingField,
    /// An object has two fields of the same name.
    RepeatedField,
    /// A value has the wrong type.
    WrongType,
    /// A value is outside its range.
    OutOfRange,
    /// A queue names a pool that does not exist.
    UnknownPool,
    /// Two entries have the same name.
    RepeatedName,
    /// The version is not higher than that in force, so the configuration would be ignored.
    VersionNotIncreased,
    /// A limit of this name is not known to this program.
    UnknownLimit,
    /// Another entry takes all requests of a queue.
    ShadowedQueue,
    /// No request can have the host and path of a queue.
    UnreachableQueue,
    /// No queue uses a pool.
    UnusedPool,
    /// No attempt is allowed.
    NoAttempts,
    /// The objective is shorter than the work takes.
    LowSlowdown,
    /// A request is given up before its target latency is over.
    ShortTimeout,
}

/// One finding of a check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigFinding {
    /// What is wrong.
    pub kind: FindingKind,
    /// Where it is.
    pub place: SourcePlace,
    /// The fault in words.
    pub message: String,
    /// What to do about it.
    pub remedy: &'static str,
}

/// A difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigChange {
    /// How the entry differs.
    pub kind: ChangeKind,
    /// The entry: `route "NAME"`, `service "NAME"` or `limits`.
    pub entry: String,
    /// Differing fields of an entry that exists in both.
    pub fields: Vec<FieldChange>,
}

/// How an entry differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// Only the new configuration has it.
    Added,
    /// Only the configuration in force has it.
    Removed,
    /// Both have it, with different values.
    Changed,
}

/// A field with different values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldChange {
    /// Name of the field in words.
    pub field: &'static str,
    /// Value in force.
    pub before: String,
    /// New value.
    pub after: String,
}

impl FindingKind {
    /// How severe findings of this kind are.
    pub const fn severity(self) -> FindingSeverity {
        match self {
            Self::BadSyntax
            | Self::UnknownField
            | Self::MissingField
            | Self::RepeatedField
            | Self::WrongType
            | Self::OutOfRange
            | Self::UnknownPool
            | Self::RepeatedName
            | Self::VersionNotIncreased => FindingSeverity::Error,
            Self::UnknownLimit
            | Self::ShadowedQueue
            | Self::UnreachableQueue
            | Self::UnusedPool
            | Self::NoAttempts
            | Self::LowSlowdown
            | Self::ShortTimeout => FindingSeverity::Warning,
        }
    }

    /// Name of the kind in output for scripts, in the words of operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadSyntax => "bad_syntax",
            Self::UnknownField => "unknown_field",
            Self::MissingField => "missing_field",
            Self::RepeatedField => "repeated_field",
            Self::WrongType => "wrong_type",
            Self::OutOfRange => "out_of_range",
            Self::UnknownPool => "unknown_service",
            Self::RepeatedName => "repeated_name",
            Self::VersionNotIncreased => "version_not_increased",
            Self::UnknownLimit => "unknown_limit",
            Self::ShadowedQueue => "shadowed_route",
            Self::UnreachableQueue => "unreachable_route",
            Self::UnusedPool => "unused_service",
            Self::NoAttempts => "no_attempts",
            Self::LowSlowdown => "low_slowdown",
            Self::ShortTimeout => "short_timeout",
        }
    }
}

impl FindingSeverity {
    /// Name of the severity in output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}

impl ChangeKind {
    /// Name of the kind in output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        }
    }
}

impl ConfigDocument {
    /// Checks what the entries mean together; their fields were checked when they were read.
    pub fn check(&self) -> Vec<ConfigFinding> {
        let mut findings = Vec::new();
        repeated_names(self.queues.iter().map(|queue| &queue.name), &mut findings);
        repeated_names(self.pools.iter().map(|pool| &pool.name), &mut findings);
        self.check_pools(&mut findings);
        self.check_matches(&mut findings);
        for queue in &self.queues {
            check_limits(queue, &mut findings);
        }
        findings.sort_by_key(|finding| finding.place.offset);
        findings
    }

    fn check_pools(&self, findings: &mut Vec<ConfigFinding>) {
        let mut pools: Vec<&str> = self
            .pools
            .iter()
            .map(|pool| pool.name.value.as_str())
            .collect();
        pools.sort_unstable();
        let mut used: Vec<&str> = Vec::with_capacity(self.queues.len());
        for queue in &self.queues {
            let pool = queue.pool.value.as_str();
            used.push(pool);
            if !pool.is_empty() && pools.binary_search(&pool).is_err() {
                findings.push(ConfigFinding {
                    kind: FindingKind::UnknownPool,
                    place: queue.pool.place.clone(),
                    message: format!("there is no service {pool:?}"),
                    remedy: "name one of the services, or add it",
                });
            }
        }
        used.sort_unstable();
        for pool in &self.pools {
            let name = pool.name.value.as_str();
            if !name.is_empty() && used.binary_search(&name).is_err() {
                findings.push(ConfigFinding {
                    kind: FindingKind::UnusedPool,
                    place: pool.name.place.clone(),
                    message: format!("no route uses the service {name:?}"),
                    remedy: "add a route for it, or remove it",
                });
            }
        }
    }

    /// Finds queues that get no request. Of queues with the same host and prefix, the one whose name
    /// sorts last gets all.
    fn check_matches(&self, findings: &mut Vec<ConfigFinding>) {
        let mut queues: Vec<&QueueEntry> = self.queues.iter().collect();
        queues.sort_by(|one, other| {
            let names = one.name.value.cmp(&other.name.value);
            one.selector().cmp(&other.selector()).then(names)
        });
        let groups = queues.chunk_by(|one, other| one.selector() == other.selector());
        for group in groups {
            let Some((taker, shadowed)) = group.split_last() else {
                continue;
            };
            findings.extend(shadowed.iter().map(|queue| ConfigFinding {
                kind: FindingKind::ShadowedQueue,
                place: queue.prefix.place.clone(),
                message: format!(
                    "the route {:?} has the same host and path prefix and takes all requests of \
                     {:?}",
                    taker.name.value, queue.name.value
                ),
                remedy: "change one of them, or remove the route",
            }));
        }
        for queue in queues {
            if let Some((place, message, remedy)) = unreachable_cause(queue) {
                findings.push(ConfigFinding {
                    kind: FindingKind::UnreachableQueue,
                    place: place.clone(),
                    message: message.to_owned(),
                    remedy,
                });
            }
        }
    }

    /// The differences from the configuration in force, whatever the order of the entries and
    /// whether defaults are written out.
    pub fn changes_from(&self, in_force: &Self) -> Vec<ConfigChange> {
        let mut changes = Vec::new();
        let queues = |document: &Self| -> Vec<(String, Vec<(&'static str, String)>)> {
            let entries = document.queues.iter();
            entries
                .map(|queue| (format!("route {:?}", queue.name.value), queue.meaning()))
                .collect()
        };
        let pools = |document: &Self| -> Vec<(String, Vec<(&'static str, String)>)> {
            let entries = document.pools.iter();
            entries
                .map(|pool| (format!("service {:?}", pool.name.value), pool.meaning()))
                .collect()
        };
        let limits = |document: &Self| {
            let meaning = vec![("longest body in bytes", document.max_body_bytes.to_string())];
            vec![("limits".to_owned(), meaning)]
        };
        compare_entries(queues(in_force), queues(self), &mut changes);
        compare_entries(pools(in_force), pools(self), &mut changes);
        compare_entries(limits(in_force), limits(self), &mut changes);
        changes
    }

    /// A finding if the configuration would be ignored because of its version.
    pub fn check_version(
        &self,
        in_force: &Self,
        changes: &[ConfigChange],
    ) -> Option<ConfigFinding> {
        let (version, before) = (self.version.value, in_force.version.value);
        let is_same = version == before && changes.is_empty();
        if version > before || is_same {
            return None;
        }
        Some(ConfigFinding {
            kind: FindingKind::VersionNotIncreased,
            place: self.version.place.clone(),
            message: format!("the version is {version}, and {before} is in force"),
            remedy: "raise it, since only a higher version is taken",
        })
    }
}

impl QueueEntry {
    /// What selects the queue.
    fn selector(&self) -> (&str, &str) {
        (&self.host.value, &self.prefix.value)
    }

    /// All fields but the name, in words.
    fn meaning(&self) -> Vec<(&'static str, String)> {
        let optional = |text: Option<String>| text.unwrap_or_else(|| "none".to_owned());
        let advice = self.advice.map(|advice| {
            format!(
                "{} a call, {} a worker, valid for {}",
                advice.per_call, advice.per_worker, advice.validity
            )
        });
        let timeout = self.timeout.as_ref();
        vec![
            ("host", format!("{:?}", self.host.value)),
            ("path prefix", format!("{:?}", self.prefix.value)),
            ("service", format!("{:?}", self.pool.value)),
            ("priority", self.priority.to_string()),
            ("attempts", self.max_attempts.value.to_string()),
            ("slowdown factor", self.slowdown_factor.value.to_string()),
            ("target latency", self.target_latency.to_string()),
            (
                "timeout",
                optional(timeout.map(|timeout| timeout.value.to_string())),
            ),
            (
                "kind",
                optional(self.kind.as_ref().map(|kind| format!("{kind:?}"))),
            ),
            ("advice", optional(advice)),
        ]
    }
}

impl PoolEntry {
    /// All fields but the name, in words.
    fn meaning(&self) -> Vec<(&'static str, String)> {
        vec![
            ("rejects overload", self.enforces_capacity.to_string()),
            ("standby", self.standby.to_string()),
        ]
    }
}

fn repeated_names<'a>(
    names: impl Iterator<Item = &'a LocatedValue<String>>,
    findings: &mut Vec<ConfigFinding>,
) {
    let mut names: Vec<&LocatedValue<String>> =
        names.filter(|name| !name.value.is_empty()).collect();
    names.sort_by(|one, other| one.value.cmp(&other.value));
    for pair in names.windows(2) {
        if pair[0].value == pair[1].value {
            findings.push(ConfigFinding {
                kind: FindingKind::RepeatedName,
                place: pair[1].place.clone(),
                message: format!("the name {:?} is used before", pair[1].value),
                remedy: "give each entry a name of its own",
            });
        }
    }
}

/// Why no request can select a queue; none if one can.
fn unreachable_cause(queue: &QueueEntry) -> Option<(&SourcePlace, &'static str, &'static str)> {
    let prefix = queue.prefix.value.as_str();
    if queue.host.value.is_empty() {
        let remedy = "set the host that callers use";
        return Some((&queue.host.place, "the host is empty", remedy));
    }
    if !prefix.starts_with('/') {
        let remedy = "begin it with a slash, as each path does";
        return Some((
            &queue.prefix.place,
            "the path prefix does not begin with a slash",
            remedy,
        ));
    }
    let never = |letter: char| letter == '?' || letter == '#' || letter <= ' ';
    if prefix.contains(never) {
        let remedy = "remove the space, `?` or `#`, which no path contains";
        return Some((
            &queue.prefix.place,
            "no path begins with the path prefix",
            remedy,
        ));
    }
    None
}

fn check_limits(queue: &QueueEntry, findings: &mut Vec<ConfigFinding>) {
    let name = &queue.name.value;
    if queue.max_attempts.value == 0 {
        findings.push(ConfigFinding {
            kind: FindingKind::NoAttempts,
            place: queue.max_attempts.place.clone(),
            message: format!("the route {name:?} allows no attempt, which counts as one"),
            remedy: "allow 1 or more",
        });
    }
    let factor = queue.slowdown_factor.value;
    if factor < 1.0 {
        findings.push(ConfigFinding {
            kind: FindingKind::LowSlowdown,
            place: queue.slowdown_factor.place.clone(),
            message: format!(
                "jobs of the route {name:?} are to take {factor} of their own run time"
            ),
            remedy: "set 1 or more",
        });
    }
    if let Some(timeout) = &queue.timeout
        && timeout.value < queue.target_latency
    {
        findings.push(ConfigFinding {
            kind: FindingKind::ShortTimeout,
            place: timeout.place.clone(),
            message: format!(
                "the timeout of {} is below the target latency of {}",
                timeout.value, queue.target_latency
            ),
            remedy: "raise the timeout, or lower the target latency",
        });
    }
}

/// Adds the differences of two lists of entries, in the order of their names. Of entries with the
/// same name the first counts.
fn compare_entries(
    mut before: Vec<(String, Vec<(&'static str, String)>)>,
    mut after: Vec<(String, Vec<(&'static str, String)>)>,
    changes: &mut Vec<ConfigChange>,
) {
    for entries in [&mut before, &mut after] {
        entries.sort_by(|one, other| one.0.cmp(&other.0));
        entries.dedup_by(|one, other| one.0 == other.0);
    }
    let mut found = Vec::new();
    for (entry, meaning) in &before {
        let new = after.binary_search_by(|other| other.0.cmp(entry));
        let (kind, fields) = match new {
            Ok(place) => (
                ChangeKind::Changed,
                changed_fields(meaning, &after[place].1),
            ),
            Err(_) => (ChangeKind::Removed, Vec::new()),
        };
        if kind == ChangeKind::Removed || !fields.is_empty() {
            let entry = entry.clone();
            found.push(ConfigChange {
                kind,
                entry,
                fields,
            });
        }
    }
    for (entry, _) in &after {
        if before.binary_search_by(|other| other.0.cmp(entry)).is_err() {
            found.push(ConfigChange {
                kind: ChangeKind::Added,
                entry: entry.clone(),
                fields: Vec::new(),
            });
        }
    }
    found.sort_by(|one, other| one.entry.cmp(&other.entry));
    changes.append(&mut found);
}

fn changed_fields(
    before: &[(&'static str, String)],
    after: &[(&'static str, String)],
) -> Vec<FieldChange> {
    let pairs = before.iter().zip(after);
    pairs
        .filter(|((_, before), (_, after))| before != after)
        .map(|((field, before), (_, after))| FieldChange {
            field,
            before: before.clone(),
            after: after.clone(),
        })
        .collect()
}
