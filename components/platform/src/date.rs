//! Formatting of platform times.

use std::time::{Duration, UNIX_EPOCH};

use http_types::other::Date;

/// Latest time that the HTTP date format can represent: the end of the year 9999.
const MAX_TIME_MS: u64 = 253_402_300_799_000;

/// Formats a platform time in the HTTP date format, such as `Fri, 04 Dec 2026 10:56:24 GMT`.
pub fn format_time(time_ms: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(time_ms.min(MAX_TIME_MS));
    Date::new(time).value().as_str().to_owned()
}
