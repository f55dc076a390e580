//! Where a field stands in a TOML text.

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// The line of a byte offset, counted from 1.
#[must_use]
pub fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end]
        .iter()
        .filter(|&&b| b == b'\n')
        .count()
        + 1
}

/// The line of the field at `path`, such as `endpoints.1.slots`; the line of
/// the nearest enclosing field if it is left out, 0 if there is none.
#[must_use]
pub fn line_of_field(text: &str, path: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else {
        return 0;
    };
    let mut offset = None;
    let mut value = DeValue::Table(table.into_inner());
    for part in path.split('.') {
        let Some((start, next)) = child(&value, part) else {
            break;
        };
        offset = Some(start);
        value = next;
    }
    offset.map_or(0, |offset| line_of(text, offset))
}

fn child<'a>(value: &DeValue<'a>, part: &str) -> Option<(usize, DeValue<'a>)> {
    match value {
        DeValue::Table(table) => table
            .iter()
            .find(|(key, _)| key.get_ref().as_ref() == part)
            .map(|(key, value)| (key.span().start, value.get_ref().clone())),
        DeValue::Array(items) => part
            .parse::<usize>()
            .ok()
            .and_then(|number| items.get(number))
            .map(|item: &Spanned<DeValue<'a>>| (item.span().start, item.get_ref().clone())),
        _ => None,
    }
}
