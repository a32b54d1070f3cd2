//! Parses and validates the JSON document of a bundle.

use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::bundle::KindEntry;

use crate::rollout::RolloutError;

/// The whole capacity of a service or of the workers, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// Parses and validates the document of a bundle.
///
/// # Errors
///
/// [`RolloutError::Parse`] if the text is not JSON of the expected structure, and
/// [`RolloutError::InvalidValue`] if a value is invalid.
pub fn parse_document(text: &str) -> Result<BundleDocument, RolloutError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let document: BundleDocument = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| RolloutError::Parse(error.to_string()))?;
    json.end()
        .map_err(|error| RolloutError::Parse(error.to_string()))?;
    check_document(&document)?;
    Ok(document)
}

/// Validates values that the field types allow: names, ranges and references between fields.
///
/// # Errors
///
/// [`RolloutError::InvalidValue`] for the first invalid field.
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

/// Requires names that are unique, not empty and free of `/`, which separates parts of row keys.
fn check_unique<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), RolloutError> {
    let mut sorted: Vec<&str> = Vec::new();
    for (index, name) in names.enumerate() {
        if name.is_empty() || name.contains('/') {
            return reject_field(
                &format!("{list}[{index}].name"),
                "is empty or contains `/`; rename it",
            );
        }
        match sorted.binary_search(&name) {
            Ok(_) => {
                return reject_field(
                    &format!("{list}[{index}].name"),
                    "is a duplicate; rename it",
                );
            }
            Err(position) => sorted.insert(position, name),
        }
    }
    Ok(())
}

fn check_domains(document: &BundleDocument) -> Result<(), RolloutError> {
    if document.domains.is_empty() {
        return reject_field("domains", "is empty; add at least one failure domain");
    }
    for (index, domain) in document.domains.iter().enumerate() {
        if domain.seats == 0 {
            return reject_field(
                &format!("domains[{index}].seats"),
                "is 0; set one seat per entry VM",
            );
        }
        if domain.shards == 0 {
            return reject_field(
                &format!("domains[{index}].shards"),
                "is 0; set at least one shard",
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
                "is 0; set at least one slot",
            );
        }
        if service.connections < service.slots {
            let remedy = "is below slots; raise it, since each running request needs a connection";
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
                "is 0; set a weight of at least 1",
            );
        }
        if kind.deadline_ms == 0 {
            return reject_field(
                &format!("kinds[{index}].deadline_ms"),
                "is 0; set at least 1 ms",
            );
        }
        if let Some(service) = &kind.service
            && !document.services.iter().any(|entry| entry.name == *service)
        {
            let remedy =
                format!("refers to service {service:?}, which is not defined; add it to services");
            return reject_field(&format!("kinds[{index}].service"), &remedy);
        }
    }
    Ok(())
}

/// Requires that the reserved shares of all kinds of one service add up to at most the whole.
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
            let remedy = "sums to more than 1000 with the other kinds of its service; lower it";
            return reject_field(&format!("kinds[{index}].floor_permille"), remedy);
        }
    }
    Ok(())
}

fn reject_field(path: &str, remedy: &str) -> Result<(), RolloutError> {
    Err(RolloutError::InvalidValue {
        path: path.to_owned(),
        remedy: remedy.to_owned(),
    })
}
