//! Command `audit`: verifies trails, queries records, and prints the rollout in force at a time.

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::bundle;
use sapphirewalk_wire::bundle::SignedBundle;
use sapphirewalk_wire::bundle::SignedRollout;

use crate::audit;
use crate::audit::AuditDecision;
use crate::audit::AuditRecord;
use crate::audit::ProcessTrail;
use crate::cli::AuditCommand;
use crate::cli::AuditInForceOptions;
use crate::cli::AuditOptions;
use crate::cli::AuditQueryOptions;
use crate::cli::AuditVerifyOptions;
use crate::command::CommandError;
use crate::config::Settings;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Prefix of the keys of the rows of all accepted rollouts.
const ROLLOUT_HISTORY_PREFIX: &str = "rollout/history/";
/// Latest representable time, for queries without an upper bound.
const TIME_MAX: TimePoint = TimePoint::from_micros(u64::MAX);

/// Runs a subcommand of `audit`.
///
/// # Errors
///
/// If the platform does not answer, a stored value is malformed, or a trail has faults.
pub async fn audit(options: &AuditOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(AuditCommand::Verify(options)) => verify(options).await,
        Some(AuditCommand::Query(options)) => query(options).await,
        Some(AuditCommand::InForce(options)) => in_force(options).await,
        None => Err(CommandError::MissingCommand(
            "audit verify, audit query or audit in-force",
        )),
    }
}

async fn verify(options: &AuditVerifyOptions) -> Result<(), CommandError> {
    let client = client_from(&options.settings)?;
    let trails = audit::read_trails(&client, TimePoint::EPOCH, TIME_MAX).await?;
    let mut fault_count = 0;
    for trail in &trails {
        let faults = trail.verify();
        fault_count += faults.len();
        print_result(trail, &faults);
    }
    match fault_count {
        0 => Ok(()),
        faults => Err(CommandError::TrailFaults(faults)),
    }
}

/// Prints one line for a trail, and one for each fault.
fn print_result(trail: &ProcessTrail, faults: &[audit::TrailFault]) {
    let records = trail.records().count();
    let dropped: u64 = trail.records().map(dropped_count).sum();
    let result = if faults.is_empty() { "whole" } else { "FAULTY" };
    println!(
        "{} records={records} dropped={dropped} {result}",
        trail.prefix
    );
    for fault in faults {
        println!("  {fault}");
    }
}

fn dropped_count(record: &AuditRecord) -> u64 {
    match record.decision {
        AuditDecision::RecordsDropped { count } => count,
        _ => 0,
    }
}

async fn query(options: &AuditQueryOptions) -> Result<(), CommandError> {
    let client = client_from(&options.settings)?;
    let from = options
        .from_ms
        .map_or(TimePoint::EPOCH, TimePoint::from_millis);
    let to = options.to_ms.map_or(TIME_MAX, TimePoint::from_millis);
    let trails = audit::read_trails(&client, from, to).await?;
    let mut found: Vec<(&ProcessTrail, &AuditRecord)> = Vec::new();
    for trail in &trails {
        let matching = trail
            .records()
            .filter(|record| matches(record, options, from, to));
        found.extend(matching.map(|record| (trail, record)));
    }
    found.sort_by_key(|(_, record)| record.at_us);
    for (trail, record) in found {
        println!("{}", render(trail, record)?);
    }
    Ok(())
}

fn matches(
    record: &AuditRecord,
    options: &AuditQueryOptions,
    from: TimePoint,
    to: TimePoint,
) -> bool {
    let at = TimePoint::from_micros(record.at_us);
    let is_in_range = at >= from && at <= to;
    let task_matches = options
        .task
        .as_deref()
        .is_none_or(|task| record.task() == Some(task));
    let request_matches = options
        .request
        .as_deref()
        .is_none_or(|request| record.request() == Some(request));
    is_in_range && task_matches && request_matches
}

fn render(trail: &ProcessTrail, record: &AuditRecord) -> Result<String, CommandError> {
    let decision = serde_json::to_string(&record.decision)
        .map_err(|error| CommandError::BadValue(error.to_string()))?;
    Ok(format!(
        "{} {}{} {decision}",
        record.at_us / 1_000,
        trail.prefix,
        record.number
    ))
}

async fn in_force(options: &AuditInForceOptions) -> Result<(), CommandError> {
    let client = client_from(&options.settings)?;
    let at = options.at_ms.map_or(TIME_MAX, TimePoint::from_millis);
    let rollouts = read_rollouts(&client).await?;
    let accepted = rollouts
        .iter()
        .rev()
        .find(|rollout| TimePoint::from_millis(rollout.signed_at_ms) <= at);
    let Some(rollout) = accepted else {
        println!("no rollout was accepted by that time");
        return Ok(());
    };
    print_rollout(&client, rollout).await?;
    let trails = audit::read_trails(&client, TimePoint::EPOCH, at).await?;
    for trail in &trails {
        let applied = trail
            .records()
            .filter(|record| record.at_us <= at.as_micros());
        if let Some((sequence, at_us)) = applied.filter_map(applied_sequence).last() {
            println!(
                "{} in force: rollout {sequence} since {}",
                trail.prefix,
                at_us / 1_000
            );
        }
    }
    Ok(())
}

/// Sequence number and time, in Unix microseconds, if the record is of an applied rollout.
fn applied_sequence(record: &AuditRecord) -> Option<(u64, u64)> {
    match record.decision {
        AuditDecision::RolloutApplied { sequence, .. } => Some((sequence, record.at_us)),
        _ => None,
    }
}

async fn read_rollouts(client: &PlatformClient) -> Result<Vec<SignedRollout>, CommandError> {
    let rows = client.scan_all(ROLLOUT_HISTORY_PREFIX).await?;
    rows.iter()
        .map(|row| serde_json::from_str(&row.value))
        .collect::<Result<_, _>>()
        .map_err(|error| CommandError::BadValue(error.to_string()))
}

async fn print_rollout(
    client: &PlatformClient,
    rollout: &SignedRollout,
) -> Result<(), CommandError> {
    let name = bundle::bundle_object_name(&rollout.digest);
    let object = client.get_object(&name).await?;
    let body = object.ok_or_else(|| CommandError::NoBundle(rollout.digest.clone()))?;
    let signed: SignedBundle = serde_json::from_slice(&body)
        .map_err(|error| CommandError::Platform(PlatformError::BadAnswer(error.to_string())))?;
    let signers: Vec<&str> = signed
        .signatures
        .iter()
        .map(|entry| entry.operator.as_str())
        .collect();
    println!(
        "rollout {} digest {} signed off by {} rolled out by {} at {}: {}",
        rollout.sequence,
        rollout.digest,
        signers.join(","),
        rollout.signature.operator,
        rollout.signed_at_ms,
        rollout.reason
    );
    Ok(())
}

fn client_from(settings: &std::path::Path) -> Result<PlatformClient, CommandError> {
    let settings = Settings::load(settings)?;
    Ok(PlatformClient::new(settings.platform, &settings.vm.name))
}
