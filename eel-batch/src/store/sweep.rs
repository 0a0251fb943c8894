//! Removes data that is no longer needed: the state of ended jobs, results past their retention, and the chunks of
//! submissions that were never accepted.

use eel_store::{Compare, KeyValue, Op, RangeRequest, Txn};
use eel_types::Revision;
use error_stack::ResultExt as _;

use super::{Error, JobStore, StoreResult, first_value, into_array, to_json};
use crate::{Head, JobId, StateKey, head::Archive};

/// The maximum number of jobs that one sweep checks.
const MAX_JOBS_PER_SWEEP: u32 = 50;

impl<S: KeyValue> JobStore<S> {
    /// Archives an ended job: removes it from the state that every node watches, and keeps its results.
    ///
    /// Must be called at least a minute after the job ended, so that pending submissions of it are resolved first.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond.
    pub async fn archive(&self, job: JobId, archive: &Archive) -> StoreResult<()> {
        let live = self.keys.state(StateKey::Head(job));
        let mut success = vec![Op::put(self.keys.archive(job), to_json(archive)?)];
        success.extend(self.state_deletes(job));
        let txn = Txn {
            compares: vec![Compare::Exists { key: live }],
            success,
            failure: Vec::new(),
        };
        self.commit_with_retry(&txn).await.map(drop)
    }

    /// Removes the data that is due for removal at `now_unix_ms`, and returns the number of jobs checked.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond; the next sweep continues.
    pub async fn sweep(&self, now_unix_ms: u64) -> StoreResult<usize> {
        let request = RangeRequest {
            limit: MAX_JOBS_PER_SWEEP,
            keys_only: true,
            ..RangeRequest::prefix(self.keys.expiries())
        };
        let range = self.store.range(&request).await;
        let range = range.change_context(Error::Store)?;
        let mut looked_at = 0;
        for pair in &range.kvs {
            let Some((due_unix_ms, job)) = self.keys.parse_expiry(&pair.key) else {
                continue;
            };
            if due_unix_ms > now_unix_ms {
                break;
            }
            self.expire(&pair.key, job, now_unix_ms).await?;
            looked_at += 1;
        }
        Ok(looked_at)
    }

    /// Removes one job if it is past its retention or was never accepted, unless it changed since it was read.
    async fn expire(&self, expiry: &str, job: JobId, now_unix_ms: u64) -> StoreResult<()> {
        let live = self.keys.state(StateKey::Head(job));
        let archive = self.keys.archive(job);
        let read = Txn {
            success: vec![
                Op::Range(RangeRequest::key(live.as_str())),
                Op::Range(RangeRequest::key(archive.as_str())),
            ],
            ..Txn::default()
        };
        let [head, archived] = into_array(self.read(&read).await?)?;
        let archived_head = first_value::<Archive>(&archived)?.map(|archive| archive.head);
        let stored = first_value::<Head>(&head)?.or(archived_head);
        let remove_unix_ms = stored.map_or(0, |head| head.remove_unix_ms());
        let mut success = vec![Op::Delete {
            key: expiry.to_owned(),
        }];
        // A job that was submitted twice may have a second expiry key that is due before its retention ends. Then only
        // that key is removed.
        if remove_unix_ms <= now_unix_ms {
            let data = self.keys.data(job);
            success.push(Op::DeletePrefix { prefix: data });
            success.push(Op::Delete {
                key: archive.clone(),
            });
            success.extend(self.state_deletes(job));
        }
        let same = |key: String, range: &eel_store::RangeOutcome| {
            let revision = range.kvs.first().map(|pair| pair.mod_revision);
            unchanged(key, revision)
        };
        let txn = Txn {
            compares: vec![same(live, &head), same(archive, &archived)],
            success,
            failure: Vec::new(),
        };
        self.commit_with_retry(&txn).await.map(drop)
    }

    fn state_deletes(&self, job: JobId) -> [Op; 4] {
        [
            Op::Delete {
                key: self.keys.state(StateKey::Head(job)),
            },
            Op::Delete {
                key: self.keys.state(StateKey::Cancel(job)),
            },
            Op::DeletePrefix {
                prefix: self.keys.claims(job),
            },
            Op::DeletePrefix {
                prefix: self.keys.dones(job),
            },
        ]
    }
}

fn unchanged(key: String, revision: Option<Revision>) -> Compare {
    match revision {
        Some(revision) => Compare::ModRevision { key, revision },
        None => Compare::Absent { key },
    }
}
