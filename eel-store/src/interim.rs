//! Notices servers that send interim responses without end.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use http::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// The number of interim responses (1xx) to one request from which on its connection counts as broken: a server that sends
/// any sends a few.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Returns what is notified once `request` has had more interim responses than a sound server sends. Call it before the
/// request is sent, and drop the response that is waited for when it is notified: nothing else ends it.
pub fn many_interim<B>(request: &mut Request<B>) -> Arc<Notify> {
    let many = Arc::new(Notify::new());
    let (notify, count) = (many.clone(), AtomicU32::new(0));
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            notify.notify_one();
        }
    });
    many
}
