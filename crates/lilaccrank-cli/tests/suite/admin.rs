//! The operators' surface of a daemon: who may use it, and what it takes.

use lilaccrank::operators::path;
use lilaccrank_lab::layout::Layout;
use serde_json::{Value, json};

use crate::cluster;

const POSTS: [&str; 4] = [
    path::CONFIGURATION,
    path::EXPLAIN,
    path::LEAVE,
    path::TIMELINE,
];

/// A customer, or somebody with no known key, tries every order. If one were taken, a customer
/// could drain a daemon, or read of other customers' requests.
#[test]
fn only_operators_give_orders() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        let admin = cluster.daemons[0].admin.to_string();
        for path in POSTS {
            for (key, expected) in [(Layout::customer_key("hotel"), 403), ("guess".into(), 401)] {
                let answer = cluster.post_as(&key, &admin, path, &json!({})).await;
                assert_eq!(answer.unwrap().0, expected, "{path}");
            }
        }
        let as_customer = |args: &str| {
            let key = Layout::customer_key("hotel");
            cluster::run(&cluster, args).env("LILACCRANK_KEY", &key)
        };
        for args in [
            "rules show",
            "rules history",
            "rules rollback 1",
            "status",
            "timeline",
        ] {
            as_customer(args).exit(4).stderr("forbidden").run();
        }
        cluster::run(&cluster, "status")
            .stdout("spanish-town-0 in spanish-town: live")
            .run();
    });
}

#[test]
fn what_cannot_be_read_is_refused() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        let admin = cluster.daemons[0].admin.to_string();
        let post = async |path: &str, body: &Value| {
            let (status, text) = cluster.post(&admin, path, body).await.unwrap();
            (
                status,
                serde_json::from_str::<Value>(&text).unwrap()["error"].clone(),
            )
        };
        let (status, error) = post(path::EXPLAIN, &json!({"fact": {}})).await;
        assert_eq!((status, error["kind"].as_str()), (400, Some("bad_request")));
        // Over the limit by the quotes alone, so that all of it is read before the answer.
        let large = Value::String("x".repeat(40 << 20));
        let (status, error) = post(path::EXPLAIN, &large).await;
        assert_eq!((status, error["kind"].as_str()), (413, Some("too_large")));
        let base = json!({"generation": 1, "publication": "x"});
        let misspelt = json!({"base": base, "document": {"rules": [{"id": 1}]}, "id": "x"});
        let (status, error) = post(path::CONFIGURATION, &misspelt).await;
        assert_eq!((status, error["kind"].as_str()), (422, Some("invalid")));
        assert_eq!(error["problems"][0]["pointer"], "/rules/0");
    });
}
