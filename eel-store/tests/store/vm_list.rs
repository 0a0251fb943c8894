//! Guards against a VM list that is malformed or unavailable being taken for an empty one, and against an unchanged
//! list that is transferred again at each read.

use eel_standin::vm_list::{ListFault, ListedVm, VmListServer};
use eel_store::{HttpVmList, VmList as _, VmListError};
use eel_types::ListedState;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use crate::fixture::{CALL_TIMEOUT_MS, SHORT_TIMEOUT_MS};

fn vm(name: &str, state: &'static str) -> ListedVm {
    ListedVm {
        name: name.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: "north-1".into(),
        pool: "scribe".into(),
        state,
    }
}

#[tokio::test]
async fn list_faults() {
    let server = VmListServer::start().await.expect("a free port");
    let list = HttpVmList::new(server.url(), CALL_TIMEOUT_MS).expect("an HTTP client");
    let impatient = HttpVmList::new(server.url(), SHORT_TIMEOUT_MS).expect("an HTTP client");
    let cases = [
        (ListFault::None, Ok(2)),
        (ListFault::Stale, Ok(1)),
        (ListFault::Empty, Ok(0)),
        (ListFault::Malformed, Err(VmListError::Malformed)),
        (ListFault::Unavailable, Err(VmListError::Unavailable)),
        (ListFault::Hang, Err(VmListError::Unavailable)),
    ];
    for (fault, expected) in cases {
        server.set_vms(vec![vm("vm-1", "live")]);
        server.set_fault(fault);
        server.set_vms(vec![vm("vm-1", "live"), vm("vm-2", "leaving")]);
        let read = match fault {
            ListFault::Hang => impatient.read().await,
            _ => list.read().await,
        };
        let read = read.map(|vms| vms.len()).map_err(|e| *e.current_context());
        assert_eq!(read, expected, "{fault:?}");
    }
    server.set_fault(ListFault::None);
    let vms = list.read().await.expect("the list");
    assert_eq!(vms[1].name.as_str(), "vm-2");
    assert_eq!(vms[1].state, ListedState::Leaving);
}

#[tokio::test]
async fn unchanged_list_is_not_sent_again() {
    let server = VmListServer::start().await.expect("a free port");
    let list = HttpVmList::new(server.url(), CALL_TIMEOUT_MS).expect("an HTTP client");
    let names = |vms: &[eel_types::ListedVm]| {
        let names = vms.iter().map(|vm| vm.name.to_string());
        names.collect::<Vec<_>>()
    };
    server.set_vms(vec![vm("vm-1", "live")]);
    let first = list.read().await.expect("the list");
    let sent = server.bytes_sent();
    for _ in 0..3 {
        let again = list.read().await.expect("the list");
        assert_eq!(names(&again), names(&first));
    }
    assert_eq!(
        server.bytes_sent(),
        sent,
        "only the first read transfers the list"
    );
    server.set_vms(vec![vm("vm-1", "live"), vm("vm-2", "live")]);
    let changed = list.read().await.expect("the list");
    assert_eq!(names(&changed), ["vm-1", "vm-2"]);
    assert!(server.bytes_sent() > sent);
}

#[tokio::test]
async fn invalid_status() {
    // It is that of a server error (RFC 9110, section 15), whatever the body says.
    for status in ["101 Switching", "206 Partial", "600 Trouble", "999 Trouble"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(&mut [0; 4096]).await;
            let response = format!("HTTP/1.1 {status}\r\ncontent-length: 10\r\n\r\n{{\"vms\":[]}}");
            let _ = stream.write_all(response.as_bytes()).await;
        });
        let url = format!("http://{address}/vms");
        let list = HttpVmList::new(url, CALL_TIMEOUT_MS).expect("an HTTP client");
        let read = list.read().await.map_err(|it| *it.current_context());
        assert_eq!(read.err(), Some(VmListError::Unavailable), "{status}");
        server.await.expect("a response");
    }
}
