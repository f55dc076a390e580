//! Where a field stands in a TOML text, and which field stands at a place.

use std::ops::Range;

use toml::{
    Spanned,
    de::{DeString, DeTable, DeValue},
};

/// The line of a byte offset, counted from 1.
#[must_use]
pub fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    let before = &text.as_bytes()[..end];
    before.iter().filter(|&&b| b == b'\n').count() + 1
}

/// A text that was read once, to find many fields in it.
#[derive(Debug)]
pub struct FieldLocator<'t> {
    text: &'t str,
    root: Option<DeValue<'t>>,
}

impl<'t> FieldLocator<'t> {
    /// Reads `text`; nothing is found in one that is not TOML.
    #[must_use]
    pub fn new(text: &'t str) -> Self {
        let table = DeTable::parse(text).ok();
        let root = table.map(|table| DeValue::Table(table.into_inner()));
        Self { text, root }
    }

    /// The line of the field at `path`, whose parts are keys and list indices;
    /// the line of the nearest enclosing field if it is left out, 0 if there is
    /// none.
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

impl<'v, 'i> Child<'v, 'i> {
    fn under(key: &Spanned<DeString<'i>>, value: &'v Spanned<DeValue<'i>>) -> Self {
        Self {
            key: key.get_ref().to_string(),
            start: key.span().start,
            key_span: key.span(),
            value,
        }
    }

    fn at(number: usize, value: &'v Spanned<DeValue<'i>>) -> Self {
        Self {
            key: number.to_string(),
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
                .map(|(key, value)| Child::under(key, value))
                .collect()
        }
        DeValue::Array(items) => {
            let items = items.iter().enumerate();
            items
                .map(|(number, item)| Child::at(number, item))
                .collect()
        }
        _ => Vec::new(),
    }
}

/// The child under `part`, found without looking at the others.
fn child<'v, 'i>(value: &'v DeValue<'i>, part: &str) -> Option<Child<'v, 'i>> {
    match value {
        DeValue::Table(table) => {
            let (key, value) = table.get_key_value(part)?;
            Some(Child::under(key, value))
        }
        DeValue::Array(items) => {
            let number: usize = part.parse().ok()?;
            items.get(number).map(|item| Child::at(number, item))
        }
        _ => None,
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
