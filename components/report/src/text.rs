//! Renders a report as plain text for a terminal.

use std::fmt::Write;

use crate::{
    format,
    model::{Report, Section, TableCell},
};

/// Renders the whole report as text.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "{}: {}", report.kind, report.about);
    let _ = writeln!(
        text,
        "From {} until {} (UTC).",
        format::time(report.period.from),
        format::time(report.period.until)
    );
    if report.missing.is_empty() {
        text.push_str("Everything in this span was read.\n");
    }
    for missing in &report.missing {
        let _ = writeln!(text, "NOT COMPLETE: {missing}.");
    }
    for section in &report.sections {
        write_section(&mut text, section);
    }
    text
}

fn write_section(text: &mut String, section: &Section) {
    let _ = writeln!(text, "\n{}", section.heading);
    if !section.note.is_empty() {
        let _ = writeln!(text, "{}", section.note);
    }
    if section.rows.is_empty() {
        text.push_str("  nothing in this span\n");
        return;
    }
    let headings: Vec<String> = section.columns.iter().map(column_heading).collect();
    let widths = column_widths(&headings, &section.rows);
    let mut line = String::new();
    for (heading, width) in headings.iter().zip(&widths) {
        let _ = write!(line, "  {heading:<width$}");
    }
    let _ = writeln!(text, "{}", line.trim_end());
    for row in &section.rows {
        let _ = writeln!(text, "{}", format_row(row, &widths).trim_end());
    }
}

fn column_heading(column: &crate::model::Column) -> String {
    if column.unit.is_empty() {
        return column.title.clone();
    }
    format!("{} [{}]", column.title, column.unit)
}

fn column_widths(headings: &[String], rows: &[Vec<TableCell>]) -> Vec<usize> {
    let mut widths: Vec<usize> = headings
        .iter()
        .map(|heading| heading.chars().count())
        .collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.display_text().chars().count());
        }
    }
    widths
}

fn format_row(row: &[TableCell], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, width) in row.iter().zip(widths) {
        let text = cell.display_text();
        let _ = if cell.is_number() {
            write!(line, "  {text:>width$}")
        } else {
            write!(line, "  {text:<width$}")
        };
    }
    line
}
