//! The record of the learnt interference weights in the store.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use stepd::entry::interference::{MAX_RECORD_BYTES, decode, encode};
use steps::owner::{InterferenceRecord, PairRecord};

fn record(pairs: usize, name_length: usize) -> InterferenceRecord {
    let pair = |number: usize| PairRecord {
        serving_image: "s".repeat(name_length).into(),
        best_effort_image: format!("{number}{}", "\u{1}".repeat(name_length)).into(),
        weight: 1.5,
        information: (pairs - number) as f64,
    };
    InterferenceRecord {
        taken_at_millis: 1_000,
        pairs: (0..pairs).map(pair).collect(),
    }
}

/// Names of images are the callers', so a record could grow without bound and hold up the
/// records of jobs on a slow link.
#[test]
fn a_long_record_loses_its_least_known_pairs() {
    for (pairs, name_length) in [(1_000, 100), (300, 4_000), (1, 40_000)] {
        let value = encode(&record(pairs, name_length)).unwrap();
        assert!(value.len() <= MAX_RECORD_BYTES, "{}", value.len());
        let kept = decode(&value).unwrap().pairs;
        assert!(kept.len() < pairs);
        assert_eq!(kept, record(pairs, name_length).pairs[..kept.len()]);
    }
}

#[test]
fn a_short_record_is_kept_whole() {
    let short = record(180, 16);
    assert_eq!(decode(&encode(&short).unwrap()).unwrap(), short);
}

/// The owner starts without the weights, after one log line.
#[test]
fn an_unreadable_record_is_an_error() {
    for value in [&b""[..], b"null", b"{\"pairs\":3}", b"\xff\xfe", b"[]"] {
        assert!(decode(value).is_err(), "{value:?}");
    }
}
