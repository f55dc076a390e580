//! Draws plots as SVG with `plotters`.
//!
//! The drawing uses the fixed colours of a light page. The style sheet of the page
//! maps each of them to a colour for a dark page, see [`crate::html`].

use kernel::Time;
use plotters::{
    chart::{ChartBuilder, SeriesLabelPosition},
    drawing::{DrawingAreaErrorKind, IntoDrawingArea},
    element::PathElement,
    prelude::{RGBColor, SVGBackend},
    series::LineSeries,
    style::{Color, IntoFont, ShapeStyle},
};

use crate::{format, model::Plot};

/// Colour of text and axes.
pub const TEXT_COLOUR: RGBColor = RGBColor(31, 35, 40);
/// Colour of the grid.
pub const GRID_COLOUR: RGBColor = RGBColor(216, 222, 228);
/// Colours of the lines, used in turn.
pub const LINE_COLOURS: [RGBColor; 6] = [
    RGBColor(9, 105, 218),
    RGBColor(188, 76, 0),
    RGBColor(26, 127, 55),
    RGBColor(130, 80, 223),
    RGBColor(191, 57, 137),
    RGBColor(87, 96, 106),
];

const WIDTH: u32 = 880;
const HEIGHT: u32 = 300;
const SECS_PER_MINUTE: f64 = 60.0;
const MINUTES_PER_DAY: f64 = 24.0 * 60.0;
const FONT: &str = "sans-serif";
/// Ratio of the top of the value axis to the highest point.
const VALUE_AXIS_FACTOR: f64 = 1.1;

type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// Draws the plot as an SVG element. Returns `None` if the plot has no points.
///
/// # Errors
///
/// Returns the text of the drawing library's error.
pub fn svg(plot: &Plot) -> Result<Option<String>, String> {
    let Some(ranges) = AxisRanges::of(plot) else {
        return Ok(None);
    };
    let mut svg = String::new();
    draw(plot, &ranges, &mut svg).map_err(|error| error.to_string())?;
    Ok(Some(svg))
}

/// Ranges of both axes. The times are minutes since the Unix epoch.
struct AxisRanges {
    from: f64,
    until: f64,
    top: f64,
}

impl AxisRanges {
    fn of(plot: &Plot) -> Option<Self> {
        let points = plot.series.iter().flat_map(|series| &series.points);
        let mut ranges: Option<Self> = None;
        for (at, value) in points {
            let at = minutes(*at);
            let ranges = ranges.get_or_insert(Self {
                from: at,
                until: at + 1.0,
                top: 0.0,
            });
            ranges.from = ranges.from.min(at);
            ranges.until = ranges.until.max(at);
            ranges.top = ranges.top.max(*value);
        }
        ranges
    }
}

fn draw(plot: &Plot, ranges: &AxisRanges, svg: &mut String) -> Result<(), DrawError> {
    let area = SVGBackend::with_string(svg, (WIDTH, HEIGHT)).into_drawing_area();
    let top = if ranges.top > 0.0 {
        ranges.top * VALUE_AXIS_FACTOR
    } else {
        1.0
    };
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .margin_right(30)
        .x_label_area_size(28)
        .y_label_area_size(72)
        .build_cartesian_2d(ranges.from..ranges.until, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(GRID_COLOUR.mix(0.0))
        .bold_line_style(GRID_COLOUR)
        .axis_style(TEXT_COLOUR)
        .label_style((FONT, 13).into_font().color(&TEXT_COLOUR))
        .x_labels(6)
        .y_labels(6)
        .x_label_formatter(&|minutes| time_label(*minutes, ranges))
        .y_label_formatter(&|value| value_label(*value))
        .y_desc(plot.unit.as_str())
        .draw()?;
    for (i, series) in plot.series.iter().enumerate() {
        let style = ShapeStyle::from(LINE_COLOURS[i % LINE_COLOURS.len()]).stroke_width(2);
        let points = series
            .points
            .iter()
            .map(|(at, value)| (minutes(*at), *value));
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(series.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .label_font((FONT, 13).into_font().color(&TEXT_COLOUR))
        .draw()?;
    drop(chart);
    area.present()
}

/// Converts a time to minutes since the Unix epoch, so that labels fall on whole
/// minutes.
fn minutes(at: Time) -> f64 {
    at.as_secs() as f64 / SECS_PER_MINUTE
}

/// Formats a time on the axis as hour and minute, with the date if the axis spans
/// more than a day.
fn time_label(minutes: f64, ranges: &AxisRanges) -> String {
    let secs = (minutes * SECS_PER_MINUTE).round().max(0.0);
    let text = format::time(Time::from_secs(secs as u64));
    let several_days = ranges.until - ranges.from > MINUTES_PER_DAY;
    let range = if several_days { 5..16 } else { 11..16 };
    text.get(range).unwrap_or_default().replace('T', " ")
}

fn value_label(value: f64) -> String {
    if value >= 100.0 {
        return format::count(value.round() as u64);
    }
    if value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    format!("{value:.2}")
}
