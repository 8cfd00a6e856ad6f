//! Connections that the client keeps and gives up.

use std::time::Duration;

use hyper::{Request, Response};
use lilaccrank_http::body;
use lilaccrank_http::client::{Client, Limits};
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, Closing};

/// Longer than an idle connection is kept, shorter than a server would wait for its next request.
const IDLE: Duration = Duration::from_secs(3);

// Requests that need a new connection each leave theirs behind for others, which never come. Both
// ends would hold them for as long as the server likes: at thousands of targets a daemon runs out
// of descriptors. They are closed once they are too old to be used.
#[test]
fn unused_connections_are_closed() {
    runtime::block_on(async {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let closing = Closing::default();
        monoio::spawn(server::serve(listener, closing.clone(), |_| async {
            Response::new(body::empty())
        }));
        let client = Client::default();
        let limits = Limits {
            connect: IDLE,
            fresh: true,
            head: IDLE,
        };
        for _ in 0..3 {
            let sent = client.send(&address, Request::new(body::empty()), limits);
            let (_, connection) = sent.await.unwrap();
            client.release(connection);
        }
        assert_eq!(closing.connections(), 3);
        monoio::time::sleep(IDLE).await;
        assert_eq!(closing.connections(), 0);
    })
    .unwrap();
}
