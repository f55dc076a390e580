//! Work that was evicted, throttled, delayed or lost, by payer and beneficiary.

use std::collections::BTreeMap;

use kernel::{Account, Amount, Cause, EventKind, plugin::inventory};

use super::{
    ReportKind, accelerator_seconds, cpu_seconds, memory_gib_seconds, seconds, serde_name,
    service_cell, team_cell,
};
use crate::{LedgerRecord, ReportInput, Section, TableCell, model::columns};

inventory::submit! {
    ReportKind {
        name: "expense",
        about: "Whose work was evicted, throttled, delayed, lost, late or refused, for whom and why.",
        build_sections,
    }
}

type ExpenseKey = (Account, Account, EventKind, Cause);

fn build_sections(input: &ReportInput<'_>) -> Vec<Section> {
    let records = input.records();
    vec![by_pair(&records), balance(&records)]
}

fn is_expense(record: &LedgerRecord) -> bool {
    matches!(
        record.key.kind,
        EventKind::Waited
            | EventKind::Throttled
            | EventKind::Evicted
            | EventKind::Lost
            | EventKind::RequestsLate
            | EventKind::RequestsFailed
            | EventKind::RequestsRefused
    )
}

/// Returns the payer, or the beneficiary if the record names no payer.
fn payer(record: &LedgerRecord) -> Account {
    record.subject().clone()
}

/// Returns the beneficiary, or an empty account if the record names no payer, since its
/// beneficiary is then listed as the payer.
fn beneficiary(record: &LedgerRecord) -> Account {
    if record.key.payer == Account::default() {
        return Account::default();
    }
    record.key.beneficiary.clone()
}

fn by_pair(records: &[LedgerRecord]) -> Section {
    let mut sums: BTreeMap<ExpenseKey, Amount> = BTreeMap::new();
    for record in records.iter().filter(|record| is_expense(record)) {
        let key = (
            payer(record),
            beneficiary(record),
            record.key.kind,
            record.key.cause,
        );
        let sum = sums.entry(key).or_default();
        *sum = sum.plus(record.amount);
    }
    let mut rows = Vec::new();
    for ((payer, beneficiary, kind, cause), sum) in &sums {
        rows.push(vec![
            team_cell(payer),
            service_cell(payer),
            TableCell::text(serde_name(kind)),
            TableCell::text(serde_name(cause)),
            team_cell(beneficiary),
            service_cell(beneficiary),
            TableCell::Count(sum.count),
            TableCell::Number(seconds(sum)),
            TableCell::Number(cpu_seconds(sum)),
            TableCell::Number(memory_gib_seconds(sum)),
            TableCell::Number(accelerator_seconds(sum)),
        ]);
    }
    Section {
        heading: "Who paid for whom".to_owned(),
        note: "A waited line without a beneficiary waited for room that nobody in particular held. Resources are those that the payer went without, for the time given.".to_owned(),
        columns: columns(&[
            ("payer team", ""),
            ("payer service", ""),
            ("what", ""),
            ("cause", ""),
            ("for team", ""),
            ("for service", ""),
            ("times", ""),
            ("time", "s"),
            ("processors", "core-seconds"),
            ("memory", "GiB-seconds"),
            ("accelerators", "accelerator-seconds"),
        ]),
        rows,
        ..Section::default()
    }
}

/// What a team went without for the benefit of other teams (`paid`), and what they
/// went without for its benefit (`gained`).
#[derive(Default)]
struct Balance {
    paid: Amount,
    gained: Amount,
}

fn balance(records: &[LedgerRecord]) -> Section {
    let mut teams: BTreeMap<String, Balance> = BTreeMap::new();
    for record in records.iter().filter(|record| is_expense(record)) {
        let (payer, beneficiary) = (payer(record).team, beneficiary(record).team);
        if payer == beneficiary {
            continue;
        }
        if let Some(team) = payer {
            let balance = teams.entry(team.to_string()).or_default();
            balance.paid = balance.paid.plus(record.amount);
        }
        if let Some(team) = beneficiary {
            let balance = teams.entry(team.to_string()).or_default();
            balance.gained = balance.gained.plus(record.amount);
        }
    }
    let mut rows = Vec::new();
    for (team, balance) in &teams {
        rows.push(vec![
            TableCell::text(team),
            TableCell::Number(seconds(&balance.paid)),
            TableCell::Number(cpu_seconds(&balance.paid)),
            TableCell::Number(seconds(&balance.gained)),
            TableCell::Number(cpu_seconds(&balance.gained)),
        ]);
    }
    Section {
        heading: "Balance by team".to_owned(),
        note: "Paid is what the team went without, gained what others went without for it."
            .to_owned(),
        columns: columns(&[
            ("team", ""),
            ("paid time", "s"),
            ("paid processors", "core-seconds"),
            ("gained time", "s"),
            ("gained processors", "core-seconds"),
        ]),
        rows,
        ..Section::default()
    }
}
