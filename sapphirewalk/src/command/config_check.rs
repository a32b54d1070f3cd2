//! Command `config check`: checks a configuration of the users' platform before it is put in force.
//!
//! It reads files and prints; it neither sends nor writes anything.

use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path;
use std::process::ExitCode;

use sapphirewalk_core::config_check::ConfigChange;
use sapphirewalk_core::config_check::ConfigDocument;
use sapphirewalk_core::config_check::ConfigFinding;
use sapphirewalk_core::config_check::FindingKind;
use sapphirewalk_core::config_check::FindingSeverity;
use sapphirewalk_platform::config_source;
use serde::Serialize;

use crate::cli;
use crate::cli::ConfigCheckOptions;
use crate::cli::ConfigCommand;
use crate::cli::ConfigOptions;
use crate::command::CommandError;

/// Longest file that is read, in bytes. It bounds memory: checking 1.0 MB of empty entries took
/// 571 MB. Configurations have a few kilobytes.
const MAX_FILE_BYTES: u64 = 1_024 * 1_024;
/// Most findings that are printed; the others are counted.
const MAX_SHOWN: usize = 500;

/// A file whose findings are shown.
struct CheckedFile {
    name: String,
    bytes: Vec<u8>,
    /// Offset of the first byte of each line.
    line_starts: Vec<usize>,
}

/// Result of a check.
struct CheckReport {
    errors: usize,
    warnings: usize,
    findings: Vec<FindingOutput>,
    comparison: Option<ComparisonOutput>,
}

/// The report as printed for scripts.
#[derive(Serialize)]
struct ReportOutput<'a> {
    file: &'a str,
    errors: usize,
    warnings: usize,
    findings: &'a [FindingOutput],
    comparison: Option<&'a ComparisonOutput>,
}

/// A finding as it is printed.
#[derive(Serialize)]
struct FindingOutput {
    severity: &'static str,
    code: &'static str,
    file: String,
    /// From 1.
    line: usize,
    /// In characters, from 1.
    column: usize,
    path: String,
    message: String,
    remedy: &'static str,
}

/// The difference from the configuration in force, as it is printed.
#[derive(Serialize)]
struct ComparisonOutput {
    version: u64,
    version_in_force: u64,
    changes: Vec<ChangeOutput>,
}

/// A changed entry as it is printed.
#[derive(Serialize)]
struct ChangeOutput {
    change: &'static str,
    entry: String,
    fields: Vec<FieldOutput>,
}

/// A changed field as it is printed.
#[derive(Serialize)]
struct FieldOutput {
    field: &'static str,
    before: String,
    after: String,
}

/// Runs a subcommand of `config`. The exit code is 0 if nothing is to be corrected, 1 for warnings
/// with `--strict`, and 2 for errors.
///
/// # Errors
///
/// If a file can't be read or is too long, or the subcommand is missing.
pub fn config(options: &ConfigOptions) -> Result<ExitCode, CommandError> {
    match &options.command {
        Some(ConfigCommand::Check(options)) => check(options),
        None => Err(CommandError::MissingCommand("config check")),
    }
}

fn check(options: &ConfigCheckOptions) -> Result<ExitCode, CommandError> {
    let file = CheckedFile::read(&options.file)?;
    let in_force = options.in_force.as_deref();
    let in_force = in_force.map(CheckedFile::read).transpose()?;
    let report = CheckReport::new(&file, in_force.as_ref());
    let text = if options.json {
        report.to_json(&file)?
    } else {
        report.to_text(&file)
    };
    // A reader that has gone needs no output; the exit code says the rest.
    let _ = io::stdout().lock().write_all(text.as_bytes());
    Ok(report.exit_code(options.strict))
}

impl CheckedFile {
    fn read(path: &path::Path) -> Result<Self, CommandError> {
        let fault = |source| CommandError::File {
            path: path.to_owned(),
            source,
        };
        let mut bytes = Vec::new();
        let file = fs::File::open(path).map_err(fault)?;
        file.take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(fault)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            let message = format!("the file is longer than {MAX_FILE_BYTES} bytes");
            return Err(fault(io::Error::other(message)));
        }
        let newlines = bytes.iter().zip(1usize..);
        let newlines = newlines.filter(|(byte, _)| **byte == b'\n');
        let line_starts = std::iter::once(0).chain(newlines.map(|(_, next)| next));
        Ok(Self {
            name: path.display().to_string().escape_debug().to_string(),
            line_starts: line_starts.collect(),
            bytes,
        })
    }

    /// Line and column of an offset, both from 1; the column counts characters.
    fn locate(&self, offset: usize) -> (usize, usize) {
        let offset = offset.min(self.bytes.len());
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let before = String::from_utf8_lossy(&self.bytes[start..offset]);
        (line, before.chars().count() + 1)
    }

    fn output(&self, finding: &ConfigFinding) -> FindingOutput {
        let (line, column) = self.locate(finding.place.offset);
        FindingOutput {
            severity: finding.kind.severity().as_str(),
            code: finding.kind.as_str(),
            file: self.name.clone(),
            line,
            column,
            path: finding.place.path.clone(),
            message: finding.message.clone(),
            remedy: finding.remedy,
        }
    }
}

impl CheckReport {
    fn new(file: &CheckedFile, in_force: Option<&CheckedFile>) -> Self {
        let reading = config_source::read_config(&file.bytes);
        let mut findings = reading.findings;
        let mut other_findings = Vec::new();
        let mut comparison = None;
        if let Some(document) = &reading.document {
            findings.extend(document.check());
        }
        if let Some(in_force) = in_force {
            let before = config_source::read_config(&in_force.bytes);
            // The processes ignore unknown fields of the version in force too.
            let faults = before.findings.into_iter();
            other_findings.extend(faults.filter(|fault| prevents_comparison(fault.kind)));
            if let (Some(document), Some(before)) = (&reading.document, &before.document) {
                let changes = document.changes_from(before);
                findings.extend(document.check_version(before, &changes));
                comparison = Some(ComparisonOutput::new(document, before, changes));
            }
        }
        findings.sort_by_key(|finding| finding.place.offset);
        let all = || findings.iter().chain(&other_findings);
        let severities = || all().map(|finding| finding.kind.severity());
        let errors = severities()
            .filter(|severity| *severity == FindingSeverity::Error)
            .count();
        let warnings = severities().count() - errors;
        let own = findings.iter().map(|finding| file.output(finding));
        let others = in_force.into_iter().flat_map(|in_force| {
            let faults = other_findings.iter();
            faults.map(|finding| in_force.output(finding))
        });
        Self {
            errors,
            warnings,
            findings: own.chain(others).take(MAX_SHOWN).collect(),
            comparison,
        }
    }

    fn exit_code(&self, strict: bool) -> ExitCode {
        if self.errors > 0 {
            ExitCode::from(cli::ERROR_EXIT_CODE)
        } else if self.warnings > 0 && strict {
            ExitCode::FAILURE
        } else {
            ExitCode::SUCCESS
        }
    }

    fn to_text(&self, file: &CheckedFile) -> String {
        let mut lines = Vec::new();
        for finding in &self.findings {
            let path = if finding.path.is_empty() {
                String::new()
            } else {
                format!("{}: ", finding.path)
            };
            lines.push(format!(
                "{}:{}:{}: {}: {path}{}; {} [{}]",
                finding.file,
                finding.line,
                finding.column,
                finding.severity,
                finding.message,
                finding.remedy,
                finding.code
            ));
        }
        let left_out = self.errors + self.warnings - self.findings.len();
        if left_out > 0 {
            lines.push(format!("{left_out} more are left out"));
        }
        if let Some(comparison) = &self.comparison {
            comparison.add_lines(&mut lines);
        }
        lines.push(format!(
            "{}: errors: {}, warnings: {}",
            file.name, self.errors, self.warnings
        ));
        lines.join("\n") + "\n"
    }

    fn to_json(&self, file: &CheckedFile) -> Result<String, CommandError> {
        let output = ReportOutput {
            file: &file.name,
            errors: self.errors,
            warnings: self.warnings,
            findings: &self.findings,
            comparison: self.comparison.as_ref(),
        };
        let text = serde_json::to_string_pretty(&output)
            .map_err(|error| CommandError::BadValue(error.to_string()))?;
        Ok(text + "\n")
    }
}

impl ComparisonOutput {
    fn new(document: &ConfigDocument, before: &ConfigDocument, changes: Vec<ConfigChange>) -> Self {
        Self {
            version: document.version.value,
            version_in_force: before.version.value,
            changes: changes.into_iter().map(ChangeOutput::from).collect(),
        }
    }

    fn add_lines(&self, lines: &mut Vec<String>) {
        lines.push(format!(
            "changes from version {} in force to version {}{}",
            self.version_in_force,
            self.version,
            if self.changes.is_empty() {
                ": none"
            } else {
                ":"
            }
        ));
        for change in &self.changes {
            let fields = change.fields.iter();
            let fields: Vec<String> = fields
                .map(|field| format!("{} {} -> {}", field.field, field.before, field.after))
                .collect();
            let separator = if fields.is_empty() { "" } else { ": " };
            lines.push(format!(
                "  {} {}{separator}{}",
                change.change,
                change.entry,
                fields.join(", ")
            ));
        }
    }
}

impl From<ConfigChange> for ChangeOutput {
    fn from(change: ConfigChange) -> Self {
        let fields = change.fields.into_iter().map(|field| FieldOutput {
            field: field.field,
            before: field.before,
            after: field.after,
        });
        Self {
            change: change.kind.as_str(),
            entry: change.entry,
            fields: fields.collect(),
        }
    }
}

/// Whether a fault of the configuration in force makes a value unknown.
const fn prevents_comparison(kind: FindingKind) -> bool {
    matches!(
        kind,
        FindingKind::BadSyntax
            | FindingKind::MissingField
            | FindingKind::WrongType
            | FindingKind::OutOfRange
    )
}
