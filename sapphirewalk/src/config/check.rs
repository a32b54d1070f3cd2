//! Validation of settings: ranges, formats and relations between fields.

use crate::config::ConfigError;
use crate::config::SchedulerSettings;
use crate::config::Settings;

/// Minimum ratio of a worker's lease to its renewal interval, so that it outlasts lost renewals.
const RENEWALS_PER_LEASE_MIN: u64 = 4;
/// Minimum ratio of `silence_ms` to `shard_renew_ms`. With a lower one, another scheduler could
/// take over a shard whose holder is alive but has missed a renewal.
const RENEWALS_PER_SILENCE_MIN: u64 = 3;
/// Length of an ed25519 public key, in hexadecimal digits.
const PUBLIC_KEY_DIGITS: usize = 64;
/// Maximum of `body_bytes_max`, in bytes. A call between peers carries the body together with the
/// head of the request, in at most 16 MiB.
const BODY_BYTES_MAX: usize = 8 << 20;
/// Allowed range of `probe_interval_ms`, in milliseconds. The shutdown of an endpoint must be
/// recorded on every entry VM within 3 s: a gateway that detects it by a probe announces it to all
/// peers at once.
const PROBE_INTERVAL_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=2_000;

/// Validates values that the field types allow.
///
/// # Errors
///
/// [`ConfigError::InvalidValue`] for the first invalid field.
pub fn check(settings: &Settings) -> Result<(), ConfigError> {
    check_addresses(settings)?;
    check_operators(settings)?;
    check_peers(settings)?;
    check_scheduler(&settings.scheduler)?;
    check_platform(settings)?;
    check_gateway(settings)
}

fn check_addresses(settings: &Settings) -> Result<(), ConfigError> {
    let listen = &settings.listen;
    if listen.request == listen.admin {
        return reject_field(
            "listen.admin",
            "equals listen.request; set a different port",
        );
    }
    Ok(())
}

fn check_operators(settings: &Settings) -> Result<(), ConfigError> {
    if settings.signatures_required == 0 {
        return reject_field("signatures_required", "is 0; set at least 1");
    }
    if settings.operators.len() < settings.signatures_required as usize {
        return reject_field(
            "operators",
            "has fewer entries than signatures_required; add operators",
        );
    }
    for (index, operator) in settings.operators.iter().enumerate() {
        let key = &operator.public_key;
        if key.len() != PUBLIC_KEY_DIGITS || hex::decode(key).is_err() {
            let path = format!("operators[{index}].public_key");
            return reject_field(
                &path,
                "is not 64 hexadecimal digits; copy the output of `keygen`",
            );
        }
        if settings.operators[..index]
            .iter()
            .any(|other| other.name == operator.name)
        {
            return reject_field(
                &format!("operators[{index}].name"),
                "is a duplicate; rename one of the operators",
            );
        }
    }
    Ok(())
}

fn check_peers(settings: &Settings) -> Result<(), ConfigError> {
    for (index, peer) in settings.peers.iter().enumerate() {
        if peer.name == settings.vm.name {
            return reject_field(
                &format!("peers[{index}].name"),
                "is the name of this VM; remove the entry",
            );
        }
    }
    Ok(())
}

fn check_scheduler(scheduler: &SchedulerSettings) -> Result<(), ConfigError> {
    if scheduler.worker_renew_ms == 0 || scheduler.shard_renew_ms == 0 {
        let path = "scheduler.worker_renew_ms, scheduler.shard_renew_ms";
        return reject_field(path, "one of them is 0; set at least 1 ms for each");
    }
    if scheduler.rows_per_s == 0 {
        return reject_field(
            "scheduler.rows_per_s",
            "is 0; set the number of rows that the platform accepts per second",
        );
    }
    if scheduler.worker_lease_ms
        < scheduler
            .worker_renew_ms
            .saturating_mul(RENEWALS_PER_LEASE_MIN)
    {
        let remedy = "is below 4 times worker_renew_ms; raise it to outlast lost renewals";
        return reject_field("scheduler.worker_lease_ms", remedy);
    }
    if scheduler.silence_ms
        < scheduler
            .shard_renew_ms
            .saturating_mul(RENEWALS_PER_SILENCE_MIN)
    {
        let remedy = "is below 3 times shard_renew_ms; raise it to outlast lost renewals";
        return reject_field("scheduler.silence_ms", remedy);
    }
    if scheduler.shard_lease_ms < scheduler.silence_ms
        || scheduler.shard_lease_ms < scheduler.worker_lease_ms
    {
        let remedy = "is below silence_ms or worker_lease_ms; raise it to at least both";
        return reject_field("scheduler.shard_lease_ms", remedy);
    }
    if scheduler.worker_lease_ms < scheduler.silence_ms {
        let remedy = "is below silence_ms; raise it so that tasks survive a change of holder";
        return reject_field("scheduler.worker_lease_ms", remedy);
    }
    Ok(())
}

fn check_platform(settings: &Settings) -> Result<(), ConfigError> {
    if let Some((field, remedy)) = settings.limits.find_fault() {
        return reject_field(field, remedy);
    }
    if settings.platform.timeout_ms == 0 {
        return reject_field("platform.timeout_ms", "is 0; set at least 1 ms");
    }
    Ok(())
}

fn check_gateway(settings: &Settings) -> Result<(), ConfigError> {
    let gateway = &settings.gateway;
    if gateway.body_bytes_max == 0 || gateway.body_bytes_max > BODY_BYTES_MAX {
        let remedy = "is 0 or above the limit of calls between peers; set 1 to 8388608 bytes";
        return reject_field("gateway.body_bytes_max", remedy);
    }
    if gateway.queue_requests_max == 0 {
        return reject_field("gateway.queue_requests_max", "is 0; set at least 1");
    }
    if gateway.connect_timeout_ms == 0 {
        return reject_field("gateway.connect_timeout_ms", "is 0; set at least 1 ms");
    }
    if gateway.slot_margin_ms == 0 {
        let remedy = "is 0; set at least the transit time from an endpoint to the gateway";
        return reject_field("gateway.slot_margin_ms", remedy);
    }
    if !PROBE_INTERVAL_RANGE_MS.contains(&gateway.probe_interval_ms) {
        let remedy = "is out of range; set 100 to 2000 ms";
        return reject_field("gateway.probe_interval_ms", remedy);
    }
    Ok(())
}

fn reject_field(path: &str, remedy: &str) -> Result<(), ConfigError> {
    Err(ConfigError::InvalidValue {
        path: path.to_owned(),
        remedy: remedy.to_owned(),
    })
}
