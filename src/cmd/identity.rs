//! Author and id of a change. Repeating a change under the same id has no further effect.

use clap::ArgMatches;
use conf::publish::ApplyId;
use kernel::Clock;

/// Returns `--apply-id`, or a new id.
pub(crate) fn apply_id(matches: &ArgMatches) -> ApplyId {
    let given = matches.get_one::<String>("apply-id").cloned();
    ApplyId(given.unwrap_or_else(|| {
        let at = Clock::start().now().as_millis();
        format!("{at}-{:016x}", rand::random::<u64>())
    }))
}

/// Returns `--who`, or the user's name.
pub(crate) fn who(matches: &ArgMatches) -> String {
    let given = matches.get_one::<String>("who").cloned();
    given
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".to_owned())
}
