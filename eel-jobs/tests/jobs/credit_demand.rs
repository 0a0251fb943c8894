//! Guards against an entry node that requests batch credits without items to send, which withholds the credits from
//! other entry nodes.

use eel_standin::kv::KvServer;
use eel_types::Name;

use crate::fixture::{Entry, Executions, FakeHost, job_id, lines, wait_until};

const ITEMS: usize = 30;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follows_the_work() {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let entry = Entry::start(&server, "entry-a", FakeHost::new(&executions)).await;
    let service = Name::from("scribe");
    assert!(!entry.node.wants_credits(&service), "nothing was submitted");
    entry.set_credits(0);
    job_id(entry.submit("k", lines(ITEMS), true).await).await;
    wait_until(|| entry.node.wants_credits(&service)).await;
    entry.set_credits(8);
    wait_until(|| !entry.node.wants_credits(&service)).await;
    assert!(!entry.node.wants_credits(&Name::from("other")));
}
