//! A finished report as plain data.

use kernel::Time;
use serde::Serialize;

use crate::{format, input::Period};

/// A report, ready to be shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The name of its kind.
    pub kind: String,
    /// One sentence that says what it answers.
    pub about: String,
    /// What it covers.
    #[serde(rename = "span")]
    pub period: Period,
    /// What could not be read, in words; empty if it is whole.
    pub missing: Vec<String>,
    /// Its tables.
    pub sections: Vec<Section>,
}

/// One table of a report, with the plots that go with it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Section {
    /// Its heading.
    pub heading: String,
    /// What the reader should know of the figures.
    pub note: String,
    /// Its columns.
    pub columns: Vec<Column>,
    /// Its rows, one cell for each column.
    pub rows: Vec<Vec<TableCell>>,
    /// Its plots.
    pub plots: Vec<Plot>,
}

/// One column of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Column {
    /// Its heading.
    pub title: String,
    /// The unit of its cells, empty for words.
    pub unit: String,
}

/// One cell of a table.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum TableCell {
    /// Words.
    Text(String),
    /// A number of things.
    Count(u64),
    /// A measured or computed number.
    Number(f64),
    /// A point in time, in microseconds since the Unix epoch.
    Time(Time),
    /// There is no value.
    Empty,
}

impl TableCell {
    /// A cell of words, nothing if there are none.
    #[must_use]
    pub fn text(value: impl AsRef<str>) -> Self {
        let value = value.as_ref();
        if value.is_empty() {
            return Self::Empty;
        }
        Self::Text(value.to_owned())
    }

    /// A cell with a number, if there is one.
    #[must_use]
    pub fn number(value: Option<f64>) -> Self {
        value.map_or(Self::Empty, Self::Number)
    }

    /// A cell with a time, if there is one.
    #[must_use]
    pub fn time(value: Option<Time>) -> Self {
        value.map_or(Self::Empty, Self::Time)
    }

    /// The cell as a reader sees it.
    #[must_use]
    pub fn display_text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Count(count) => format::count(*count),
            Self::Number(number) => format::decimal(*number),
            Self::Time(at) => format::time(*at),
            Self::Empty => "-".to_owned(),
        }
    }

    /// Whether it is set to the right in a table.
    #[must_use]
    pub const fn is_number(&self) -> bool {
        matches!(self, Self::Count(_) | Self::Number(_))
    }
}

/// Lines over time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plot {
    /// What it shows.
    pub title: String,
    /// The unit of its values.
    pub unit: String,
    /// The lines.
    pub series: Vec<Series>,
}

/// One line of a plot.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// Whose line it is.
    pub name: String,
    /// Its points, oldest first.
    pub points: Vec<(Time, f64)>,
}

/// Columns from pairs of title and unit.
#[must_use]
pub fn columns(titles: &[(&str, &str)]) -> Vec<Column> {
    let mut columns = Vec::new();
    for (title, unit) in titles {
        columns.push(Column {
            title: (*title).to_owned(),
            unit: (*unit).to_owned(),
        });
    }
    columns
}
