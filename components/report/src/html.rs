//! Renders a report as one self-contained HTML page.

use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::style::RGBColor;

use crate::{
    format,
    model::{Plot, Report, Section, TableCell},
    plot,
};

const STYLE: &str = include_str!("page.css");

/// Colours of plot lines on a dark page, in the order of [`plot::LINE_COLOURS`].
const DARK_LINE_COLOURS: [&str; 6] = [
    "#58a6ff", "#ffa657", "#56d364", "#bc8cff", "#ff9bce", "#8b949e",
];

/// Renders the whole report as an HTML page.
#[must_use]
pub fn render(report: &Report) -> String {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta name="color-scheme" content="light dark";
                title { "hemlockmoor: " (report.kind) }
                style { (PreEscaped(STYLE)) (PreEscaped(plot_style())) }
            }
            body {
                main {
                    h1 { (heading(&report.kind)) }
                    p class="about" { (report.about) }
                    p class="span" {
                        "From " time { (format::time(report.period.from)) }
                        " until " time { (format::time(report.period.until)) } " (UTC)."
                        @if report.missing.is_empty() { " Everything in this span was read." }
                    }
                    @if !report.missing.is_empty() { (missing_markup(report)) }
                    @for section in &report.sections { (section_markup(section)) }
                }
            }
        }
    };
    page.into_string()
}

fn heading(kind: &str) -> String {
    let mut chars = kind.chars();
    match chars.next() {
        Some(first) => first.to_uppercase().chain(chars).collect(),
        None => String::new(),
    }
}

fn missing_markup(report: &Report) -> Markup {
    html! {
        div class="missing" role="note" {
            strong { "Not complete" }
            ul { @for missing in &report.missing { li { (missing) "." } } }
        }
    }
}

fn section_markup(section: &Section) -> Markup {
    html! {
        section {
            h2 { (section.heading) }
            @if !section.note.is_empty() { p { (section.note) } }
            @for plot in &section.plots { (plot_markup(plot)) }
            @if section.rows.is_empty() {
                p class="empty" { "Nothing in this span." }
            } @else {
                (table_markup(section))
            }
        }
    }
}

fn table_markup(section: &Section) -> Markup {
    html! {
        div class="scroll" {
            table {
                thead { tr {
                    @for (i, column) in section.columns.iter().enumerate() {
                        th scope="col" class=[number_class(section, i)] {
                            (column.title)
                            @if !column.unit.is_empty() { small { (column.unit) } }
                        }
                    }
                } }
                tbody {
                    @for row in &section.rows { tr {
                        @for cell in row {
                            @if cell.is_number() { td class="number" { (cell.display_text()) } }
                            @else { td { (cell.display_text()) } }
                        }
                    } }
                }
            }
        }
    }
}

/// Returns the class that right-aligns the heading of a column of numbers.
fn number_class(section: &Section, column: usize) -> Option<&'static str> {
    let mut cells = section.rows.iter().filter_map(|row| row.get(column));
    cells.any(TableCell::is_number).then_some("number")
}

fn plot_markup(plot: &Plot) -> Markup {
    match plot::svg(plot) {
        Ok(Some(svg)) => html! {
            figure {
                figcaption { (plot.title) }
                (PreEscaped(svg))
            }
        },
        Ok(None) => html! {},
        Err(error) => html! { p class="empty" { "The plot can't be drawn: " (error) "." } },
    }
}

/// Returns CSS rules that map the colours of the plots to those of a dark page.
fn plot_style() -> String {
    let mut rules = String::new();
    for (light, dark) in plot::LINE_COLOURS.iter().zip(DARK_LINE_COLOURS) {
        rules.push_str(&recolour(*light, dark));
    }
    rules.push_str(&recolour(plot::TEXT_COLOUR, "#c9d1d9"));
    rules.push_str(&recolour(plot::GRID_COLOUR, "#30363d"));
    format!("@media (prefers-color-scheme: dark) {{ {rules} }}")
}

fn recolour(light: RGBColor, dark: &str) -> String {
    let RGBColor(red, green, blue) = light;
    let light = format!("#{red:02X}{green:02X}{blue:02X}");
    format!(
        "svg [fill=\"{light}\"] {{ fill: {dark} }} svg [stroke=\"{light}\"] {{ stroke: {dark} }} "
    )
}
