//! Data of a finished report.

use kernel::Time;
use serde::Serialize;

use crate::{format, input::Period};

/// A finished report, ready to be rendered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the report kind.
    pub kind: String,
    /// One sentence that describes the question the report answers.
    pub about: String,
    /// Period that the report covers.
    #[serde(rename = "span")]
    pub period: Period,
    /// Descriptions of missing or imprecise data; empty if the report is complete.
    pub missing: Vec<String>,
    /// Tables of the report.
    pub sections: Vec<Section>,
}

/// One table of a report, with the plots that go with it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Section {
    /// Heading above the table.
    pub heading: String,
    /// Explanation of the figures, may be empty.
    pub note: String,
    /// Columns of the table.
    pub columns: Vec<Column>,
    /// Rows of the table, with one cell for each column.
    pub rows: Vec<Vec<TableCell>>,
    /// Plots shown with the table.
    pub plots: Vec<Plot>,
}

/// One column of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Column {
    /// Heading of the column.
    pub title: String,
    /// Unit of the cells, empty for text.
    pub unit: String,
}

/// One cell of a table.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum TableCell {
    /// Text.
    Text(String),
    /// A count.
    Count(u64),
    /// A measured or computed number.
    Number(f64),
    /// A point in time, in microseconds since the Unix epoch.
    Time(Time),
    /// No value.
    Nothing,
}

impl TableCell {
    /// Creates a text cell, or an empty cell if `value` is empty.
    #[must_use]
    pub fn text(value: impl AsRef<str>) -> Self {
        let value = value.as_ref();
        if value.is_empty() {
            return Self::Nothing;
        }
        Self::Text(value.to_owned())
    }

    /// Creates a number cell, or an empty cell for `None`.
    #[must_use]
    pub fn number(value: Option<f64>) -> Self {
        value.map_or(Self::Nothing, Self::Number)
    }

    /// Creates a time cell, or an empty cell for `None`.
    #[must_use]
    pub fn time(value: Option<Time>) -> Self {
        value.map_or(Self::Nothing, Self::Time)
    }

    /// Formats the cell for a reader.
    #[must_use]
    pub fn display_text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Count(count) => format::count(*count),
            Self::Number(number) => format::decimal(*number),
            Self::Time(at) => format::time(*at),
            Self::Nothing => "-".to_owned(),
        }
    }

    /// Returns whether the cell is a number and thus right-aligned.
    #[must_use]
    pub const fn is_number(&self) -> bool {
        matches!(self, Self::Count(_) | Self::Number(_))
    }
}

/// A plot of values over time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plot {
    /// Title of the plot.
    pub title: String,
    /// Unit of the values.
    pub unit: String,
    /// Lines of the plot.
    pub series: Vec<Series>,
}

/// One line of a plot.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// Name shown in the legend.
    pub name: String,
    /// Points of the line, oldest first.
    pub points: Vec<(Time, f64)>,
}

/// Creates columns from pairs of title and unit.
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
