//! Where a field stands in a TOML text, and which field stands at a place.

use std::ops::Range;

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// The line of a byte offset, counted from 1.
#[must_use]
pub fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    let before = &text.as_bytes()[..end];
    before.iter().filter(|&&b| b == b'\n').count() + 1
}

/// The line of the field at `path`, whose parts are keys and list indices; the
/// line of the nearest enclosing field if it is left out, 0 if there is none.
#[must_use]
pub fn line_of_path<'p>(text: &str, path: impl IntoIterator<Item = &'p str>) -> usize {
    let Ok(table) = DeTable::parse(text) else {
        return 0;
    };
    let root = DeValue::Table(table.into_inner());
    let mut offset = None;
    let mut value = &root;
    for part in path {
        let found = children(value).into_iter().find(|child| child.key == part);
        let Some(child) = found else {
            break;
        };
        offset = Some(child.start);
        value = child.value.get_ref();
    }
    offset.map_or(0, |offset| line_of(text, offset))
}

/// The path of the innermost field that holds `span`, empty if there is none.
#[must_use]
pub fn path_at(text: &str, span: &Range<usize>) -> String {
    let Ok(table) = DeTable::parse(text) else {
        return String::new();
    };
    let root = DeValue::Table(table.into_inner());
    innermost(&root, span)
        .map(|path| path.join("."))
        .unwrap_or_default()
}

struct Child<'v, 'i> {
    key: String,
    start: usize,
    key_span: Range<usize>,
    value: &'v Spanned<DeValue<'i>>,
}

fn children<'v, 'i>(value: &'v DeValue<'i>) -> Vec<Child<'v, 'i>> {
    match value {
        DeValue::Table(table) => table
            .iter()
            .map(|(key, value)| Child {
                key: key.get_ref().to_string(),
                start: key.span().start,
                key_span: key.span(),
                value,
            })
            .collect(),
        DeValue::Array(items) => items
            .iter()
            .enumerate()
            .map(|(number, value)| Child {
                key: number.to_string(),
                start: value.span().start,
                key_span: value.span(),
                value,
            })
            .collect(),
        _ => Vec::new(),
    }
}

fn innermost(value: &DeValue<'_>, span: &Range<usize>) -> Option<Vec<String>> {
    let holds = |outer: &Range<usize>| outer.start <= span.start && span.end <= outer.end;
    for child in children(value) {
        if let Some(mut path) = innermost(child.value.get_ref(), span) {
            path.insert(0, child.key);
            return Some(path);
        }
        if holds(&child.key_span) || holds(&child.value.span()) {
            return Some(vec![child.key]);
        }
    }
    None
}
