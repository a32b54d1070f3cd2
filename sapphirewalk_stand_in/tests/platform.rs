//! Tests of the platform stand-in: conditions, lost answers, blocked callers, objects and the delay
//! of the VM list.

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_stand_in::client;
use sapphirewalk_stand_in::platform::CALLER_HEADER;
use sapphirewalk_stand_in::platform::Platform;
use sapphirewalk_wire::platform as wire;

async fn transact(
    platform: &Platform,
    version: Option<u64>,
    value: &str,
) -> Result<wire::TransactionReply, client::CallError> {
    let request = wire::TransactionRequest {
        conditions: vec![wire::RowCondition {
            key: "row".to_owned(),
            version,
        }],
        changes: vec![wire::RowChange::Put {
            key: "row".to_owned(),
            value: value.to_owned(),
        }],
    };
    let answer = client::post_json(platform.address(), wire::TRANSACTION_PATH, &request).await?;
    answer.json()
}

fn record(incarnation: u64) -> wire::VmRecord {
    wire::VmRecord {
        name: "vm".to_owned(),
        incarnation,
        role: wire::VmRole::Worker,
        domain: "d0".to_owned(),
        rack: "r0".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        scheduler_address: None,
        service: None,
        resources: ResourceVector::ZERO,
        state: wire::VmState::Live,
    }
}

async fn list(platform: &Platform) -> Vec<(u64, wire::VmState)> {
    let answer = client::get(platform.address(), wire::VM_LIST_PATH)
        .await
        .expect("the platform answers with a list");
    let list: wire::VmList = answer.json().expect("the platform answers with a list");
    let states = list.vms.iter().map(|vm| (vm.incarnation, vm.state));
    states.collect()
}

#[tokio::test]
async fn a_failed_condition_changes_nothing() {
    let platform = Platform::start().await.unwrap();
    let first = transact(&platform, None, "1").await.unwrap();
    assert_eq!(first, wire::TransactionReply::Committed { version: 1 });
    let second = transact(&platform, None, "2").await.unwrap();
    let conflict = wire::TransactionReply::Conflict {
        key: "row".to_owned(),
    };
    assert_eq!(second, conflict);
    assert_eq!(platform.row("row").unwrap().value, "1");
    assert_eq!(platform.counters().transactions.total, 1);
    assert_eq!(platform.counters().conflicts.total, 1);
}

#[tokio::test]
async fn a_transaction_takes_effect_without_its_answer_but_not_without_its_request() {
    let platform = Platform::start().await.unwrap();
    platform.lose_answers(1);
    transact(&platform, None, "1").await.unwrap_err();
    assert_eq!(platform.row("row").unwrap().value, "1");
    platform.lose_requests(1);
    transact(&platform, Some(1), "2").await.unwrap_err();
    assert_eq!(platform.row("row").unwrap().value, "1");
    transact(&platform, Some(1), "3").await.unwrap();
    assert_eq!(platform.row("row").unwrap().value, "3");
}

#[tokio::test]
async fn a_scan_continues_after_the_last_key() {
    let platform = Platform::start().await.unwrap();
    for key in ["a/1", "b/1", "b/2", "b/3", "c/1"] {
        platform.put_row(key, "0");
    }
    let mut request = wire::ScanRequest {
        prefix: "b/".to_owned(),
        after: None,
        limit: 2,
    };
    let answer = client::post_json(platform.address(), wire::SCAN_PATH, &request).await;
    let page: wire::RowList = answer.unwrap().json().unwrap();
    assert!(page.more);
    request.after = Some(page.rows[1].key.clone());
    let answer = client::post_json(platform.address(), wire::SCAN_PATH, &request).await;
    let page: wire::RowList = answer.unwrap().json().unwrap();
    assert!(!page.more);
    assert_eq!(page.rows[0].key, "b/3");
}

#[tokio::test]
async fn only_a_blocked_caller_gets_no_answer() {
    let platform = Platform::start().await.unwrap();
    platform.block_vm("e0-0");
    let address = platform.address();
    for (caller, is_served) in [("e0-0", false), ("e0-1", true)] {
        let headers = [(CALLER_HEADER, caller)];
        let path = wire::VM_LIST_PATH;
        let answer = client::call(address, Method::GET, path, &headers, Bytes::new()).await;
        assert_eq!(answer.is_ok(), is_served, "{caller}");
    }
    platform.set_down(true);
    let answer = client::get(address, wire::VM_LIST_PATH).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn an_object_is_written_once() {
    let platform = Platform::start().await.unwrap();
    let put = async |body: &'static str| {
        let body = Bytes::from_static(body.as_bytes());
        let answer = client::call(platform.address(), Method::PUT, "/object/a/b", &[], body).await;
        answer.unwrap().status
    };
    assert_eq!(put("first").await, StatusCode::CREATED);
    assert_eq!(put("second").await, StatusCode::CONFLICT);
    let answer = client::get(platform.address(), "/object/a/b")
        .await
        .unwrap();
    assert_eq!(answer.text(), "first");
    assert_eq!(platform.object_names(), ["a/b"]);
}

#[tokio::test]
async fn the_vm_list_lags_and_a_gone_vm_stays_gone() {
    let platform = Platform::start().await.unwrap();
    platform.publish_vm(record(1));
    assert_eq!(list(&platform).await, [(1, wire::VmState::Live)]);
    platform.set_vm_list_lag_ms(3_600_000);
    platform.replace_vm(record(2));
    assert_eq!(list(&platform).await, [(1, wire::VmState::Live)]);
    platform.set_vm_list_lag_ms(0);
    platform.publish_vm(record(1));
    let replaced = [(1, wire::VmState::Gone), (2, wire::VmState::Live)];
    assert_eq!(list(&platform).await, replaced);
}
