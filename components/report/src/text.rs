//! A report as plain text, for a terminal.

use std::fmt::Write;

use crate::{
    format,
    model::{Report, Section, TableCell},
};

/// The whole report as text.
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
    let heads: Vec<String> = section.columns.iter().map(head).collect();
    let widths = widths(&heads, &section.rows);
    let mut line = String::new();
    for (head, width) in heads.iter().zip(&widths) {
        let _ = write!(line, "  {head:<width$}");
    }
    let _ = writeln!(text, "{}", line.trim_end());
    for row in &section.rows {
        let _ = writeln!(text, "{}", row_line(row, &widths).trim_end());
    }
}

fn head(column: &crate::model::Column) -> String {
    if column.unit.is_empty() {
        return column.title.clone();
    }
    format!("{} [{}]", column.title, column.unit)
}

fn widths(heads: &[String], rows: &[Vec<TableCell>]) -> Vec<usize> {
    let mut widths: Vec<usize> = heads.iter().map(|head| head.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.display_text().chars().count());
        }
    }
    widths
}

fn row_line(row: &[TableCell], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, width) in row.iter().zip(widths) {
        let shown = cell.display_text();
        let _ = if cell.is_number() {
            write!(line, "  {shown:>width$}")
        } else {
            write!(line, "  {shown:<width$}")
        };
    }
    line
}
