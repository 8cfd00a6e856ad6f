//! Connections that the client keeps and gives up.

use std::time::Duration;

use hyper::{Request, Response};
use lilaccrank_http::body;
use lilaccrank_http::client::{Client, Limits};
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};

/// Longer than an idle connection is kept, shorter than a server would wait for its next request.
const IDLE: Duration = Duration::from_secs(3);

/// Serves empty answers; its address, and what counts its connections.
fn serve() -> (String, ShutdownHandle) {
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let shutdown = ShutdownHandle::default();
    monoio::spawn(server::serve(listener, shutdown.clone(), |_| async {
        Response::new(body::empty())
    }));
    (address, shutdown)
}

// Requests that need a new connection each leave theirs behind for others, which never come. Both
// ends would hold them for as long as the server likes: at thousands of targets a daemon runs out
// of descriptors. They are closed once they are too old to be used.
#[test]
fn unused_connections_are_closed() {
    runtime::block_on(async {
        let (address, shutdown) = serve();
        let client = Client::default();
        let limits = Limits {
            connect: IDLE,
            max_idle: Duration::ZERO,
            head: IDLE,
        };
        for _ in 0..3 {
            let sent = client.send(&address, Request::new(body::empty()), limits);
            let (_, connection) = sent.await.unwrap();
            client.release(connection);
        }
        assert_eq!(shutdown.connections(), 3);
        monoio::time::sleep(IDLE).await;
        assert_eq!(shutdown.connections(), 0);
    })
    .unwrap();
}

/// Connections that two requests open, the second some time after the first was answered.
macro_rules! connections_opened {
    ($name:ident, $max_idle_ms:literal, $pause_ms:literal, $connections:literal) => {
        #[test]
        fn $name() {
            let opened = runtime::block_on(async {
                let (address, shutdown) = serve();
                let client = Client::default();
                let limits = Limits {
                    connect: IDLE,
                    max_idle: Duration::from_millis($max_idle_ms),
                    head: IDLE,
                };
                for _ in 0..2 {
                    let sent = client.send(&address, Request::new(body::empty()), limits);
                    let (_, connection) = sent.await.unwrap();
                    client.release(connection);
                    monoio::time::sleep(Duration::from_millis($pause_ms)).await;
                }
                shutdown.connections()
            });
            assert_eq!(opened.unwrap(), $connections);
        }
    };
}

// Something between both ends has lost a connection that rested. A request that can't be repeated
// goes out on it, gets no answer, and its caller can't be told whether it ran. A connection is as
// good as new only for as long as the sender says.
connections_opened!(zero_max_idle_opens_new_connection, 0, 5, 2);
connections_opened!(recently_used_connection_is_reused, 600, 5, 1);
connections_opened!(stale_connection_is_not_reused, 100, 300, 2);
