//! The control stream of a target node that a test plays.

use eel_types::{Incarnation, LoadReport, Revision};
use eel_wire::{
    codec,
    message::{EntryControl, Pong, TargetControl, Welcome},
};
use quinn::{RecvStream, SendStream};

/// The load that the target node reports.
pub const FAKE_LOAD: LoadReport = LoadReport {
    slots: 8,
    running_online: 0,
    queued_online: 0,
    running_batch: 0,
    batch_credits: 0,
    credit_valid_ms: 0,
};

/// Responds to the messages of an entry node until the stream ends.
pub async fn serve_control(mut send: SendStream, mut recv: RecvStream) {
    while let Ok(Some(message)) = codec::read::<EntryControl>(&mut recv).await {
        let reply = match message {
            EntryControl::Hello(_) => TargetControl::Welcome(Welcome {
                vm: "fake".into(),
                incarnation: Incarnation(1),
                pool: "dispatch-runners".into(),
                load: FAKE_LOAD,
                revision: Revision(0),
            }),
            EntryControl::Ping(ping) => TargetControl::Pong(Pong {
                sequence: ping.sequence,
                load: FAKE_LOAD,
                revision: Revision(0),
                leaving: false,
            }),
            EntryControl::Configure(_) => continue,
        };
        if codec::write(&mut send, &reply).await.is_err() {
            return;
        }
    }
}
