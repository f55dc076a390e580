//! Numbers and times as a reader sees them.

use jiff::Timestamp;
use kernel::Time;

/// A time in UTC to the second, `2026-12-03T23:53:00Z`.
#[must_use]
pub fn time(at: Time) -> String {
    let secs = i64::try_from(at.as_secs()).unwrap_or(i64::MAX);
    match Timestamp::from_second(secs) {
        Ok(timestamp) => timestamp.to_string(),
        Err(_) => "the end of time".to_owned(),
    }
}

/// Reads a time in UTC, `2026-12-03T23:53:00Z`, or seconds since the Unix epoch.
///
/// # Errors
///
/// Returns a sentence that shows both forms.
pub fn parse_time(text: &str) -> Result<Time, String> {
    if let Ok(secs) = text.parse::<u32>() {
        return Ok(Time::from_secs(u64::from(secs)));
    }
    let wrong = || {
        format!("{text:?} is no time; write it like 2026-12-03T23:53:00Z, or as seconds since 1970")
    };
    let timestamp: Timestamp = text.parse().map_err(|_| wrong())?;
    let micros = u64::try_from(timestamp.as_microsecond()).map_err(|_| wrong())?;
    Ok(Time(micros))
}

/// A number with two digits after the point and thousands set apart.
#[must_use]
pub fn decimal(value: f64) -> String {
    let text = format!("{:.2}", value.abs());
    let (whole, part) = text.split_once('.').unwrap_or((&text, "00"));
    let sign = if value < 0.0 { "-" } else { "" };
    format!("{sign}{}.{part}", grouped(whole))
}

/// A whole number with thousands set apart.
#[must_use]
pub fn count(value: u64) -> String {
    grouped(&value.to_string())
}

fn grouped(digits: &str) -> String {
    let mut text = String::new();
    for (i, digit) in digits.chars().enumerate() {
        if i > 0 && (digits.len() - i).is_multiple_of(3) {
            text.push(' ');
        }
        text.push(digit);
    }
    text
}
