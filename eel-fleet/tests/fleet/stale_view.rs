//! Detection of a node whose watch of the store falls behind the watches of its peers.
//!
//! A watch that goes silent without an error would otherwise let the node show stale data to callers.

use eel_fleet::Lag;
use eel_types::Revision;

#[test]
fn watch_keeps_up() {
    let mut lag = Lag::default();
    // Peers see each change up to 400 ms earlier, and each of their reports shows a new one.
    for step in 1..100 {
        let now_ms = step * 100;
        lag.on_peer_revision(now_ms, Revision(step));
        if step % 4 == 0 {
            lag.on_complete(Revision(step - 1));
        }
        assert!(!lag.is_behind(now_ms), "at {now_ms}");
    }
}

#[test]
fn silent_watch() {
    let mut lag = Lag::default();
    lag.on_complete(Revision(7));
    lag.on_peer_revision(1_000, Revision(7));
    assert!(!lag.is_behind(60_000), "no peer has shown anything newer");
    lag.on_peer_revision(1_000, Revision(8));
    lag.on_peer_revision(1_400, Revision(9));
    assert!(!lag.is_behind(1_499));
    assert!(lag.is_behind(1_500));
    lag.on_complete(Revision(8));
    assert!(
        !lag.is_behind(1_899),
        "revision 9 was first reported at 1.4 s"
    );
    assert!(lag.is_behind(1_900));
    lag.on_complete(Revision(9));
    assert!(!lag.is_behind(60_000));
}

#[test]
fn own_write_hides_nothing() {
    let mut lag = Lag::default();
    lag.on_complete(Revision(7));
    lag.on_peer_revision(1_000, Revision(8));
    lag.on_change(Revision(9));
    assert_eq!(lag.shown(), Revision(9));
    assert!(
        lag.is_behind(1_500),
        "the change that the peer has shown is still missing"
    );
}
