//! Plots as SVG, drawn by `plotters`.
//!
//! The drawing uses a few fixed colours; the page's style sheet maps each of
//! them to one for light and one for dark, see [`crate::html`].

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

/// The colour of text and axes.
pub const INK: RGBColor = RGBColor(31, 35, 40);
/// The colour of the grid.
pub const GRID: RGBColor = RGBColor(216, 222, 228);
/// The colours of the lines, used in turn.
pub const LINES: [RGBColor; 6] = [
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
/// Room above the highest point, as a factor.
const HEADROOM: f64 = 1.1;

type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// The plot as an SVG element, or nothing if it has no points.
///
/// # Errors
///
/// Returns the text of the drawing library's error.
pub fn svg(plot: &Plot) -> Result<Option<String>, String> {
    let Some(extent) = Extent::of(plot) else {
        return Ok(None);
    };
    let mut svg = String::new();
    draw(plot, &extent, &mut svg).map_err(|error| error.to_string())?;
    Ok(Some(svg))
}

/// The ranges of both axes.
struct Extent {
    from: f64,
    until: f64,
    top: f64,
}

impl Extent {
    fn of(plot: &Plot) -> Option<Self> {
        let points = plot.series.iter().flat_map(|series| &series.points);
        let mut extent: Option<Self> = None;
        for (at, value) in points {
            let at = minutes(*at);
            let extent = extent.get_or_insert(Self {
                from: at,
                until: at + 1.0,
                top: 0.0,
            });
            extent.from = extent.from.min(at);
            extent.until = extent.until.max(at);
            extent.top = extent.top.max(*value);
        }
        extent
    }
}

fn draw(plot: &Plot, extent: &Extent, svg: &mut String) -> Result<(), DrawError> {
    let area = SVGBackend::with_string(svg, (WIDTH, HEIGHT)).into_drawing_area();
    let top = if extent.top > 0.0 {
        extent.top * HEADROOM
    } else {
        1.0
    };
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .margin_right(30)
        .x_label_area_size(28)
        .y_label_area_size(72)
        .build_cartesian_2d(extent.from..extent.until, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(GRID.mix(0.0))
        .bold_line_style(GRID)
        .axis_style(INK)
        .label_style((FONT, 13).into_font().color(&INK))
        .x_labels(6)
        .y_labels(6)
        .x_label_formatter(&|minutes| label(*minutes, extent))
        .y_label_formatter(&|value| axis_number(*value))
        .y_desc(plot.unit.as_str())
        .draw()?;
    for (i, series) in plot.series.iter().enumerate() {
        let style = ShapeStyle::from(LINES[i % LINES.len()]).stroke_width(2);
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
        .label_font((FONT, 13).into_font().color(&INK))
        .draw()?;
    drop(chart);
    area.present()
}

/// Minutes since the Unix epoch, so that labels fall on whole minutes.
fn minutes(at: Time) -> f64 {
    at.as_secs() as f64 / SECS_PER_MINUTE
}

/// A time on the axis: the hour and minute, with the day if it shows several.
fn label(minutes: f64, extent: &Extent) -> String {
    let secs = (minutes * SECS_PER_MINUTE).round().max(0.0);
    let text = format::time(Time::from_secs(secs as u64));
    let several_days = extent.until - extent.from > MINUTES_PER_DAY;
    let range = if several_days { 5..16 } else { 11..16 };
    text.get(range).unwrap_or_default().replace('T', " ")
}

fn axis_number(value: f64) -> String {
    if value >= 100.0 {
        return format::count(value.round() as u64);
    }
    if value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    format!("{value:.2}")
}
