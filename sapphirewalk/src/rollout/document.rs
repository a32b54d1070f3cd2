//! Parsing and checking a bundle's document.

use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::bundle::KindEntry;

use crate::rollout::RolloutError;

/// All of a service or of the workers, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// Parses and checks a bundle's document.
///
/// # Errors
///
/// [`RolloutError::Document`] or [`RolloutError::Field`] with the field's path and the remedy.
pub fn parse_document(text: &str) -> Result<BundleDocument, RolloutError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let document: BundleDocument = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| RolloutError::Document(error.to_string()))?;
    json.end()
        .map_err(|error| RolloutError::Document(error.to_string()))?;
    check_document(&document)?;
    Ok(document)
}

/// Checks what the fields' types can't.
///
/// # Errors
///
/// [`RolloutError::Field`] for the first fault found.
pub fn check_document(document: &BundleDocument) -> Result<(), RolloutError> {
    check_unique(
        "domains",
        document.domains.iter().map(|entry| entry.name.as_str()),
    )?;
    check_unique(
        "services",
        document.services.iter().map(|entry| entry.name.as_str()),
    )?;
    check_unique(
        "kinds",
        document.kinds.iter().map(|entry| entry.name.as_str()),
    )?;
    check_unique(
        "teams",
        document.teams.iter().map(|entry| entry.name.as_str()),
    )?;
    check_domains(document)?;
    check_services(document)?;
    check_kinds(document)?;
    check_floors(document)
}

fn check_unique<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), RolloutError> {
    let mut sorted: Vec<&str> = Vec::new();
    for (index, name) in names.enumerate() {
        if name.is_empty() || name.contains('/') {
            return reject_field(
                &format!("{list}[{index}].name"),
                "is empty or holds `/`; rename it",
            );
        }
        match sorted.binary_search(&name) {
            Ok(_) => return reject_field(&format!("{list}[{index}].name"), "is taken; rename it"),
            Err(place) => sorted.insert(place, name),
        }
    }
    Ok(())
}

fn check_domains(document: &BundleDocument) -> Result<(), RolloutError> {
    if document.domains.is_empty() {
        return reject_field("domains", "is empty; name at least one failure domain");
    }
    for (index, domain) in document.domains.iter().enumerate() {
        if domain.seats == 0 {
            return reject_field(
                &format!("domains[{index}].seats"),
                "is 0; give one seat per entry VM",
            );
        }
        if domain.shards == 0 {
            return reject_field(
                &format!("domains[{index}].shards"),
                "is 0; give at least one shard",
            );
        }
    }
    Ok(())
}

fn check_services(document: &BundleDocument) -> Result<(), RolloutError> {
    for (index, service) in document.services.iter().enumerate() {
        if service.slots == 0 {
            return reject_field(
                &format!("services[{index}].slots"),
                "is 0; give at least one slot",
            );
        }
        if service.connections < service.slots {
            let remedy = "is below slots; each running request needs a connection";
            return reject_field(&format!("services[{index}].connections"), remedy);
        }
    }
    Ok(())
}

fn check_kinds(document: &BundleDocument) -> Result<(), RolloutError> {
    for (index, kind) in document.kinds.iter().enumerate() {
        if kind.weight == 0 {
            return reject_field(
                &format!("kinds[{index}].weight"),
                "is 0; give a weight of at least 1",
            );
        }
        if kind.deadline_ms == 0 {
            return reject_field(
                &format!("kinds[{index}].deadline_ms"),
                "is 0; allow at least 1 ms",
            );
        }
        if let Some(service) = &kind.service
            && !document.services.iter().any(|entry| entry.name == *service)
        {
            let remedy = format!("names no service {service:?}; add it to services");
            return reject_field(&format!("kinds[{index}].service"), &remedy);
        }
    }
    Ok(())
}

fn check_floors(document: &BundleDocument) -> Result<(), RolloutError> {
    for (index, kind) in document.kinds.iter().enumerate() {
        let same_pool = |other: &&KindEntry| other.service == kind.service;
        let sum: u32 = document
            .kinds
            .iter()
            .filter(same_pool)
            .map(|other| other.floor_permille)
            .sum();
        if sum > FULL_PERMILLE {
            let remedy = "exceeds 1000 together with the other kinds of its service; lower it";
            return reject_field(&format!("kinds[{index}].floor_permille"), remedy);
        }
    }
    Ok(())
}

fn reject_field(path: &str, remedy: &str) -> Result<(), RolloutError> {
    Err(RolloutError::Field {
        path: path.to_owned(),
        remedy: remedy.to_owned(),
    })
}
