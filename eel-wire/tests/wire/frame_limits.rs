//! Guards against frames that the other end must reject as too long, and against appended frames that differ from
//! frames encoded one by one.

use bytes::Bytes;
use eel_types::{Attempt, RequestId, RequestKey};
use eel_wire::{
    Error,
    codec::{MAX_FRAME_BYTES, append, encode},
    message::{ServeReply, StreamRequest},
};

#[test]
fn too_long_is_refused() {
    let body = Bytes::from(vec![0; MAX_FRAME_BYTES + 1]);
    let error = encode(&ServeReply::Data(body)).expect_err("too long");
    assert_eq!(*error.current_context(), Error::TooLong);
}

#[test]
fn appended_frames_follow_each_other() {
    let settle = |id| {
        StreamRequest::Settle(RequestKey {
            id: RequestId(id),
            attempt: Attempt(1),
        })
    };
    let mut buffer = Vec::new();
    append(&mut buffer, &settle(1)).expect("a short frame");
    append(&mut buffer, &settle(u128::MAX)).expect("a short frame");
    let first = encode(&settle(1)).expect("a short frame");
    let second = encode(&settle(u128::MAX)).expect("a short frame");
    assert_eq!(buffer, [first, second].concat());
}
