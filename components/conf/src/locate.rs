//! Maps fields of a TOML text to lines, and byte ranges to fields.

use std::ops::Range;

use toml::{
    Spanned,
    de::{DeString, DeTable, DeValue},
};

/// Returns the line of a byte offset, counted from 1.
#[must_use]
pub fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    let before = &text.as_bytes()[..end];
    before.iter().filter(|&&b| b == b'\n').count() + 1
}

/// Finds the lines of fields in a TOML text that is parsed once.
#[derive(Debug)]
pub struct FieldLocator<'t> {
    text: &'t str,
    root: Option<DeValue<'t>>,
}

impl<'t> FieldLocator<'t> {
    /// Parses `text`. If it is not valid TOML, every line is reported as 0.
    #[must_use]
    pub fn new(text: &'t str) -> Self {
        let table = DeTable::parse(text).ok();
        let root = table.map(|table| DeValue::Table(table.into_inner()));
        Self { text, root }
    }

    /// Returns the line of the field at `path`, whose parts are keys and list
    /// indices. Returns the line of the nearest enclosing field if the field is
    /// absent, or 0 if there is none.
    #[must_use]
    pub fn line<'p>(&self, path: impl IntoIterator<Item = &'p str>) -> usize {
        let mut offset = None;
        let mut value = self.root.as_ref();
        for part in path {
            let Some(child) = value.and_then(|value| child(value, part)) else {
                break;
            };
            offset = Some(child.start);
            value = Some(child.value.get_ref());
        }
        offset.map_or(0, |offset| line_of(self.text, offset))
    }
}

/// Returns the path of the innermost field that contains `span`, or an empty
/// string if there is none.
#[must_use]
pub fn path_at(text: &str, span: &Range<usize>) -> String {
    let Ok(table) = DeTable::parse(text) else {
        return String::new();
    };
    let root = DeValue::Table(table.into_inner());
    innermost_path(&root, span)
        .map(|path| path.join("."))
        .unwrap_or_default()
}

struct Child<'v, 'i> {
    key: String,
    start: usize,
    key_span: Range<usize>,
    value: &'v Spanned<DeValue<'i>>,
}

impl<'v, 'i> Child<'v, 'i> {
    fn of_table(key: &Spanned<DeString<'i>>, value: &'v Spanned<DeValue<'i>>) -> Self {
        Self {
            key: key.get_ref().to_string(),
            start: key.span().start,
            key_span: key.span(),
            value,
        }
    }

    fn of_list(index: usize, value: &'v Spanned<DeValue<'i>>) -> Self {
        Self {
            key: index.to_string(),
            start: value.span().start,
            key_span: value.span(),
            value,
        }
    }
}

fn children<'v, 'i>(value: &'v DeValue<'i>) -> Vec<Child<'v, 'i>> {
    match value {
        DeValue::Table(table) => {
            let fields = table.iter();
            fields
                .map(|(key, value)| Child::of_table(key, value))
                .collect()
        }
        DeValue::Array(items) => {
            let items = items.iter().enumerate();
            items
                .map(|(index, item)| Child::of_list(index, item))
                .collect()
        }
        _ => Vec::new(),
    }
}

/// Returns the child with the key or index `part` without visiting the others.
fn child<'v, 'i>(value: &'v DeValue<'i>, part: &str) -> Option<Child<'v, 'i>> {
    match value {
        DeValue::Table(table) => {
            let (key, value) = table.get_key_value(part)?;
            Some(Child::of_table(key, value))
        }
        DeValue::Array(items) => {
            let index: usize = part.parse().ok()?;
            items.get(index).map(|item| Child::of_list(index, item))
        }
        _ => None,
    }
}

fn innermost_path(value: &DeValue<'_>, span: &Range<usize>) -> Option<Vec<String>> {
    let contains = |outer: &Range<usize>| outer.start <= span.start && span.end <= outer.end;
    for child in children(value) {
        if let Some(mut path) = innermost_path(child.value.get_ref(), span) {
            path.insert(0, child.key);
            return Some(path);
        }
        if contains(&child.key_span) || contains(&child.value.span()) {
            return Some(vec![child.key]);
        }
    }
    None
}
