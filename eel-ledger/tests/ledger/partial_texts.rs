//! Partial texts, saved while their items run.

use std::fmt::Write as _;

use bytes::Bytes;
use eel_ledger::{ItemRef, Partials, Piece, Progress, RunOutcome, SavedItems, Worklist};
use quickcheck::{QuickCheck, TestResult};

use crate::fixture::{Values, keys, ledger_with};

fn item() -> ItemRef {
    ItemRef {
        job: "j".into(),
        item: 0,
    }
}

/// The progress of the run `run` after its first `events` events.
fn progress(run: &str, events: u64) -> Progress {
    let words: Vec<String> = (1..=events).map(|event| format!("{run}{event}")).collect();
    Progress {
        text: words.join("\n"),
        last_event: (events > 0).then_some(events),
        version: (events > 0).then(|| "v1".into()),
        ..Progress::default()
    }
}

fn save(saved: &mut SavedItems, partials: &mut Partials, key: &str, progress: Progress) {
    let pieces = saved.pieces(0, 0, [(item(), progress)].into_iter());
    if !pieces.is_empty() {
        let value = Piece::encode_all(&pieces).expect("a value");
        assert!(partials.on_put(key, &value));
        saved.on_saved(&pieces);
    }
}

#[test]
fn pieces_are_joined() {
    let (mut saved, mut partials) = (SavedItems::default(), Partials::default());
    saved.begin(&item(), None, 1);
    for (key, events) in [("a", 3), ("b", 3), ("c", 7)] {
        save(&mut saved, &mut partials, key, progress("w", events));
    }
    assert_eq!(
        partials
            .longest_text(&item(), |_| true)
            .expect("a text")
            .progress,
        progress("w", 7)
    );
}

#[test]
fn order_of_arrival() {
    let (mut saved, mut kept) = (SavedItems::default(), Vec::new());
    saved.begin(&item(), None, 1);
    for events in [2, 4, 9] {
        let pieces = saved.pieces(0, 0, [(item(), progress("w", events))].into_iter());
        saved.on_saved(&pieces);
        kept.push(Piece::encode_all(&pieces).expect("a value"));
    }
    let mut partials = Partials::default();
    for (number, value) in kept.iter().enumerate().rev() {
        partials.on_put(&number.to_string(), value);
    }
    assert_eq!(
        partials
            .longest_text(&item(), |_| true)
            .expect("a text")
            .progress,
        progress("w", 9)
    );
}

#[test]
fn answer_lost_then_saved_again() {
    let (mut saved, mut partials) = (SavedItems::default(), Partials::default());
    saved.begin(&item(), None, 1);
    let lost = saved.pieces(0, 0, [(item(), progress("w", 3))].into_iter());
    partials.on_put("lost", &Piece::encode_all(&lost).expect("a value"));
    save(&mut saved, &mut partials, "again", progress("w", 5));
    save(&mut saved, &mut partials, "more", progress("w", 8));
    assert_eq!(
        partials
            .longest_text(&item(), |_| true)
            .expect("a text")
            .progress,
        progress("w", 8)
    );
}

/// Guards against joined texts of runs that did not continue one another. Two nodes run the item in turn or
/// concurrently, and either may start from its own text or from the longest saved one.
#[test]
fn lineages_are_not_mixed() {
    fn holds(steps: Vec<(bool, u8, bool)>) -> TestResult {
        let mut partials = Partials::default();
        let mut nodes = [
            (SavedItems::default(), Progress::default()),
            (SavedItems::default(), Progress::default()),
        ];
        let mut texts: Vec<String> = Vec::new();
        for (number, (which, events, takes_up)) in steps.into_iter().enumerate() {
            let (saved, progress) = &mut nodes[usize::from(which)];
            if takes_up || !saved.contains(&item()) {
                let known = partials
                    .longest_text(&item(), |_| true)
                    .filter(|_| takes_up);
                *progress = known
                    .clone()
                    .map_or_else(Progress::default, |known| known.progress);
                saved.begin(&item(), known.as_ref(), number as u64 + 1);
            }
            // Events of different runs have different texts.
            for _ in 0..events % 4 {
                let next = progress.last_event.unwrap_or(0) + 1;
                if next > 1 {
                    progress.text.push('\n');
                }
                write!(progress.text, "run{number}-{next}").expect("a string takes all");
                progress.last_event = Some(next);
            }
            texts.push(progress.text.clone());
            let progress = progress.clone();
            save(saved, &mut partials, &number.to_string(), progress);
            if let Some(known) = partials.longest_text(&item(), |_| true) {
                let text = &known.progress.text;
                if !texts.iter().any(|whole| whole.starts_with(text.as_str())) {
                    return TestResult::error(format!(
                        "{text:?} is not a prefix of any of {texts:?}"
                    ));
                }
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<(bool, u8, bool)>) -> TestResult);
}

#[test]
fn removed_when_ended() {
    let (mut ledger, mut values): (_, Values) = ledger_with("j", 1);
    let (mut saved, mut partials) = (SavedItems::default(), Partials::default());
    saved.begin(&item(), None, 1);
    save(&mut saved, &mut partials, "a", progress("w", 3));
    assert!(partials.ended(&ledger, 10).is_empty());
    let mut worklist = Worklist::default();
    worklist.finish(&item(), 3, RunOutcome::Completed(progress("w", 5)));
    let txn = worklist.commit(&ledger).expect("a transaction");
    values.apply(&txn);
    values.read(&mut ledger);
    assert_eq!(partials.ended(&ledger, 10), ["a"]);
    partials.on_removed("a");
    assert!(partials.longest_text(&item(), |_| true).is_none());
    saved.forget_ended(&ledger);
    assert!(!saved.contains(&item()));
}

#[test]
fn saved_at_intervals() {
    let mut saved = SavedItems::default();
    saved.begin(&item(), None, 1);
    let mut pieces = |now_ms| {
        saved
            .pieces(now_ms, 1_500, [(item(), progress("w", 3))].into_iter())
            .len()
    };
    assert_eq!(
        [pieces(1_500), pieces(2_999), pieces(3_000)],
        [1, 0, 1],
        "the interval counts from the last call that looked"
    );
}

#[test]
fn undecodable_pieces() {
    let mut partials = Partials::default();
    assert!(!partials.on_put("a", &[0xff]));
    assert!(partials.longest_text(&item(), |_| true).is_none());
    let keys = keys();
    let key = keys.partial("node-1", 7, 3);
    assert_eq!(keys.partial_writer(&key), Some("node-1"));
    assert_eq!(keys.partial_writer(&keys.head("j")), None);
    assert!(
        eel_ledger::Ledger::new(keys)
            .on_put(&key, &Bytes::new())
            .is_none()
    );
}

#[test]
fn text_over_the_usual_size() {
    let (mut saved, mut partials) = (SavedItems::default(), Partials::default());
    let [long, short] = [0, 1].map(|item| ItemRef {
        job: "j".into(),
        item,
    });
    let progress = |bytes: usize| Progress {
        text: "w".repeat(bytes),
        last_event: Some(1),
        version: Some("v1".into()),
        ..Progress::default()
    };
    let running = [(long, progress(700_000)), (short, progress(10))];
    for (item, _) in &running {
        saved.begin(item, None, 1);
    }
    for key in ["a", "b"] {
        let pieces = saved.pieces(0, 0, running.iter().cloned());
        let value = Piece::encode_all(&pieces).expect("a value");
        assert!(value.len() < 1 << 20, "a value of the store holds 1 MiB");
        assert!(partials.on_put(key, &value));
        saved.on_saved(&pieces);
    }
    for (item, progress) in running {
        let text = partials.longest_text(&item, |_| true).expect("a text");
        assert_eq!(text.progress, progress);
    }
}

#[test]
fn versions_are_not_mixed() {
    // A node of an earlier release wrote the first piece, whose version is not known.
    let at = |version: Option<&str>, events| Progress {
        version: version.map(Into::into),
        ..progress("w", events)
    };
    for (first, second, text) in [
        (Some("v1"), Some("v1"), 5),
        (Some("v1"), Some("v2"), 2),
        (None, Some("v1"), 2),
    ] {
        let (mut saved, mut partials) = (SavedItems::default(), Partials::default());
        saved.begin(&item(), None, 1);
        save(&mut saved, &mut partials, "a", at(first, 2));
        save(&mut saved, &mut partials, "b", at(second, 5));
        let longest = partials.longest_text(&item(), |_| true).expect("a text");
        assert_eq!(longest.progress, at(first, text), "{first:?} {second:?}");
    }
}

#[test]
fn values_of_other_releases() {
    let (mut saved, mut partials) = (SavedItems::default(), Partials::default());
    saved.begin(&item(), None, 1);
    let pieces = saved.pieces(0, 0, [(item(), progress("w", 3))].into_iter());
    let value = Piece::encode_all(&pieces).expect("a value");
    let read: Vec<Piece> = postcard::from_bytes(&value).expect("what an earlier release reads");
    assert_eq!(read[0].text, pieces[0].text);
    let earlier = postcard::to_stdvec(&pieces).expect("a value of an earlier release");
    assert!(partials.on_put("a", &earlier));
    let text = partials.longest_text(&item(), |_| true).expect("a text");
    assert_eq!(text.progress.version, None);
    assert!(!text.progress.continues_at(Some(&"v1".into())));
}

// Guards against the text of a dropped run that counts as saved for the run from the start.
#[test]
fn saved_after_a_new_start() {
    let mut saved = SavedItems::default();
    saved.begin(&item(), None, 1);
    let dropped = saved.pieces(1_000, 0, [(item(), progress("dropped", 3))].into_iter());
    assert_eq!(dropped.len(), 1);
    saved.begin(&item(), None, 2);
    saved.on_saved(&dropped);
    let pieces = saved.pieces(2_000, 0, [(item(), progress("w", 2))].into_iter());
    assert_eq!(pieces.len(), 1);
    assert_eq!((pieces[0].lineage, pieces[0].after), (2, None));
    assert_eq!(pieces[0].text, progress("w", 2).text);
}
