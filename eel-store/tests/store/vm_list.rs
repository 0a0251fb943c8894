//! Guards against a VM list that is malformed or unavailable being taken for an empty one, and against an unchanged
//! list that is transferred again at each read.

use eel_standin::vm_list::{ListFault, ListedVm, VmListServer};
use eel_store::{HttpVmList, VmList as _, VmListError};
use eel_types::ListedState;

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
