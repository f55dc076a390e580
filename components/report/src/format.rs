//! Formats and parses numbers and times.

use jiff::Timestamp;
use kernel::Time;

/// Formats a time in UTC to the second, such as `2026-12-03T23:53:00Z`.
#[must_use]
pub fn time(at: Time) -> String {
    let secs = i64::try_from(at.as_secs()).unwrap_or(i64::MAX);
    match Timestamp::from_second(secs) {
        Ok(timestamp) => timestamp.to_string(),
        Err(_) => "the end of time".to_owned(),
    }
}

/// Parses a time such as `2026-12-03T23:53:00Z`, or seconds since the Unix epoch.
///
/// # Errors
///
/// Returns a message that shows both formats.
pub fn parse_time(text: &str) -> Result<Time, String> {
    if let Ok(secs) = text.parse::<u32>() {
        return Ok(Time::from_secs(u64::from(secs)));
    }
    let invalid_time = || {
        format!("{text:?} is no time; write it like 2026-12-03T23:53:00Z, or as seconds since 1970")
    };
    let timestamp: Timestamp = text.parse().map_err(|_| invalid_time())?;
    let micros = u64::try_from(timestamp.as_microsecond()).map_err(|_| invalid_time())?;
    Ok(Time(micros))
}

/// Formats a number with two decimals and spaces between thousands.
#[must_use]
pub fn decimal(value: f64) -> String {
    let text = format!("{:.2}", value.abs());
    let (integer, fraction) = text.split_once('.').unwrap_or((&text, "00"));
    let sign = if value < 0.0 { "-" } else { "" };
    format!("{sign}{}.{fraction}", group_thousands(integer))
}

/// Formats a whole number with spaces between thousands.
#[must_use]
pub fn count(value: u64) -> String {
    group_thousands(&value.to_string())
}

fn group_thousands(digits: &str) -> String {
    let mut text = String::new();
    for (i, digit) in digits.chars().enumerate() {
        if i > 0 && (digits.len() - i).is_multiple_of(3) {
            text.push(' ');
        }
        text.push(digit);
    }
    text
}
