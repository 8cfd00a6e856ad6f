use hyper::StatusCode;
use serde_json::json;

use crate::caller;
use crate::process::Process;

#[test]
fn answers_logs_and_fails_on_request() {
    caller::run(async {
        let service = Process::start(&["service", "--work-ms", "1"]);
        service.control(json!({"fail_next": 1})).await;
        let failed = caller::post(&service.address, "/bind", &json!(1)).await;
        assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
        let receipt = caller::post(&service.address, "/bind", &json!(2))
            .await
            .ok();
        let sha256 = "d4735e3a265e16eee03f59718b9b5d03019c07d8b6c51f90da3a666eec13ab35";
        assert_eq!(
            receipt,
            json!({"bytes": 1, "path": "/bind", "sha256": sha256})
        );
        let log = service.read("/log").await;
        assert_eq!(log.as_array().unwrap().len(), 2);
        assert_eq!(log[1]["request_key"], "key of post");
    });
}

#[test]
fn ends_with_its_standard_input() {
    let mut service = Process::start(&["service"]);
    assert!(service.close_stdin());
}
