//! Settles an attempt whose exchange failed: asks the target node, over a new connection if necessary, whether it ran.

use std::{sync::Arc, time::Duration};

use eel_types::RequestKey;
use eel_verdict::Verdict;
use eel_wire::{
    codec,
    message::{Settlement, StreamRequest},
};
use error_stack::{Report, ResultExt as _};

use super::{Link, Session};

/// The timeout for a new connection and the settlement over it. After that the attempt counts as may-have-run.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the verdict on an attempt, and prevents the target node from starting it if it has not started.
///
/// A new connection that reaches another process at the same address yields [`Verdict::MayHaveRun`], since the earlier
/// process may have run the attempt.
pub(super) async fn settle(link: &Link, old: &Arc<Session>, key: RequestKey) -> Verdict {
    let settled = tokio::time::timeout(SETTLE_TIMEOUT, request_settlement(link, old, key)).await;
    match settled {
        Ok(Some(Settlement::NeverStarted)) => Verdict::NotRun,
        Ok(Some(Settlement::Started { finished: true })) => Verdict::Ran,
        Ok(Some(Settlement::Started { finished: false } | Settlement::Unknown) | None) | Err(_) => {
            Verdict::MayHaveRun
        }
    }
}

async fn request_settlement(
    link: &Link,
    old: &Arc<Session>,
    key: RequestKey,
) -> Option<Settlement> {
    let session = if old.silent.is_cancelled() || old.lost.is_cancelled() {
        link.session_after(old).await?
    } else {
        old.clone()
    };
    if session.incarnation != old.incarnation {
        return None;
    }
    match request_settlement_over(&session, key).await {
        Ok(settlement) => settlement,
        Err(error) => {
            log::debug!(target: "link", "Cannot settle an attempt: {error}.");
            None
        }
    }
}

async fn request_settlement_over(
    session: &Session,
    key: RequestKey,
) -> Result<Option<Settlement>, Report<eel_wire::Error>> {
    let (mut send, mut recv) = session
        .connection
        .open_bi()
        .await
        .change_context(eel_wire::Error::Closed)?;
    codec::write(&mut send, &StreamRequest::Settle(key)).await?;
    let _ = send.finish();
    codec::read(&mut recv).await
}
