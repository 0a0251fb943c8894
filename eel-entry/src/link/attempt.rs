//! Sends one attempt of a request over a link and reads its reply.

use std::sync::Arc;

use bytes::Bytes;
use eel_types::{LoadReport, RequestKey, is_final_status};
use eel_verdict::{Reason, Refusal, Verdict};
use eel_wire::{
    codec, is_drained,
    message::{ReplyHead, ServeReply, ServeRequest, StreamRequest},
};
use error_stack::Report;
use futures_util::FutureExt as _;
use quinn::RecvStream;
use tokio_util::{sync::CancellationToken, task::task_tracker::TaskTrackerToken};

use super::{Link, Session, settle::settle};

/// An attempt bound to the open connection of a link.
pub(crate) struct Attempt {
    link: Arc<Link>,
    session: Arc<Session>,
    key: RequestKey,
    _tracked: TaskTrackerToken,
}

/// A reply whose head has been received and whose body is still to be read.
pub(crate) struct Reply {
    pub(crate) head: ReplyHead,
    attempt: Attempt,
    recv: RecvStream,
    body_bytes: u64,
}

/// The next part of a reply.
pub(crate) enum ReplyPart {
    /// A piece of the body.
    Data(Bytes),
    /// The end of a complete reply, with the target's load.
    End(LoadReport),
}

impl Attempt {
    /// Prepares an attempt over the open connection of `link`.
    ///
    /// # Errors
    ///
    /// Refuses the attempt as not run if no connection is open.
    pub(crate) fn new(link: Arc<Link>, key: RequestKey) -> Result<Self, Refusal> {
        let session = link
            .session()
            .ok_or(Refusal::not_run(Reason::TargetFailed))?;
        Ok(Self {
            _tracked: session.attempts.token(),
            link,
            session,
            key,
        })
    }

    /// Returns the token that is cancelled once the connection is silent.
    pub(crate) fn silent(&self) -> CancellationToken {
        self.session.silent.clone()
    }

    /// Sends `request` and waits for the head of its reply. If the connection goes silent, the attempt ends if
    /// `ends_silent` holds then.
    ///
    /// # Errors
    ///
    /// The target node's refusal; [`Reason::Leaving`], as not run, if the target node drained before the request
    /// reached it; or [`Reason::TargetFailed`], as not run if no stream could be opened, else with the verdict of the
    /// settlement.
    pub(crate) async fn send(
        self,
        request: ServeRequest,
        ends_silent: impl Fn() -> bool,
    ) -> Result<Reply, Refusal> {
        let session = self.session.clone();
        let given_up = async {
            session.silent.cancelled().await;
            if !ends_silent() {
                session.lost.cancelled().await;
            }
        };
        tokio::pin!(given_up);
        let opened = tokio::select! {
            opened = self.session.connection.open_bi() => opened.ok(),
            () = &mut given_up => None,
        };
        let Some((mut send, mut recv)) = opened else {
            return Err(Refusal::not_run(Reason::TargetFailed));
        };
        let exchanged = unless_lost(given_up, exchange(&mut send, &mut recv, request)).await;
        match exchanged {
            // Target nodes of earlier versions pass on any status.
            Ok(ServeReply::Head(head)) if head.key == self.key && !is_final_status(head.status) => {
                Err(Refusal::may_have_run(Reason::TargetFailed))
            }
            Ok(ServeReply::Head(head)) if head.key == self.key => Ok(Reply {
                head,
                attempt: self,
                recv,
                body_bytes: 0,
            }),
            Ok(ServeReply::Refused(refused)) if refused.key == self.key => Err(refused.refusal),
            Err(error) if is_drained(&error) => Err(Refusal::not_run(Reason::Leaving)),
            Ok(_) | Err(_) => Err(self.settled_refusal(Reason::TargetFailed).await),
        }
    }

    /// Settles the attempt and returns a refusal for `reason` with the resulting verdict.
    async fn settled_refusal(&self, reason: Reason) -> Refusal {
        let verdict = settle(&self.link, &self.session, self.key).await;
        Refusal {
            verdict,
            reason,
            retry_after_ms: None,
        }
    }
}

/// Waits for `reply` until the connection is lost. A reply that was received before then is still returned: the target
/// node closes the connection once its transport has the acknowledgements, not once its replies have been read.
async fn unless_lost(
    lost: impl Future<Output = ()>,
    reply: impl Future<Output = Result<ServeReply, Report<eel_wire::Error>>>,
) -> Result<ServeReply, Report<eel_wire::Error>> {
    tokio::pin!(reply);
    tokio::select! {
        reply = &mut reply => return reply,
        () = lost => {}
    }
    // The reply, or the cause of the loss, may have arrived since it was last polled.
    reply
        .now_or_never()
        .unwrap_or_else(|| Err(Report::new(eel_wire::Error::Closed)))
}

async fn exchange(
    send: &mut quinn::SendStream,
    recv: &mut RecvStream,
    request: ServeRequest,
) -> Result<ServeReply, Report<eel_wire::Error>> {
    codec::write(send, &StreamRequest::Serve(Box::new(request))).await?;
    let _ = send.finish();
    read_reply(recv).await
}

async fn read_reply(recv: &mut RecvStream) -> Result<ServeReply, Report<eel_wire::Error>> {
    let reply = codec::read(recv).await?;
    reply.ok_or_else(|| Report::new(eel_wire::Error::Closed))
}

impl Reply {
    /// Waits for the next part of the reply.
    ///
    /// # Errors
    ///
    /// The target node's refusal, or [`Reason::Truncated`] if the reply ends before its end marker or belongs to
    /// another attempt.
    pub(crate) async fn next(&mut self) -> Result<ReplyPart, Refusal> {
        let lost = self.attempt.session.lost.cancelled();
        match unless_lost(lost, read_reply(&mut self.recv)).await {
            Ok(ServeReply::Data(data)) => {
                self.body_bytes += data.len() as u64;
                Ok(ReplyPart::Data(data))
            }
            Ok(ServeReply::End(end)) if self.is_complete(end.key, end.body_bytes) => {
                codec::consume_fin(&mut self.recv);
                Ok(ReplyPart::End(end.load))
            }
            Ok(ServeReply::Refused(refused)) if refused.key == self.attempt.key => {
                Err(refused.refusal)
            }
            Ok(_) | Err(_) => Err(Refusal {
                verdict: Verdict::MayHaveRun,
                reason: Reason::Truncated,
                retry_after_ms: None,
            }),
        }
    }

    fn is_complete(&self, key: RequestKey, body_bytes: u64) -> bool {
        key == self.attempt.key && body_bytes == self.body_bytes
    }
}
