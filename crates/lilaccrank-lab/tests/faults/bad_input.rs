use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::Layout;
use serde_json::{Value, json};

use crate::{harness, stub};

/// Largest body that the daemon of these tests takes.
const BODY_LIMIT: usize = 4096;
/// Time for a body to come.
const BODY_TIMEOUT_MS: u64 = 300;
/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What a caller sends, byte for byte.
struct Sent(Vec<u8>);

impl Sent {
    /// A request with the caller's key, further header lines and a body.
    fn request(path: &str, headers: &str, body: &str) -> Self {
        let key = Layout::customer_key("hospital");
        Self::with_key(path, &key, headers, body)
    }

    fn with_key(path: &str, key: &str, headers: &str, body: &str) -> Self {
        let length = body.len();
        Self::raw(&format!(
            "POST {path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {key}\r\n{headers}\
             Content-Length: {length}\r\n\r\n{body}"
        ))
    }

    fn completion(headers: &str, body: &str) -> Self {
        Self::request("/v1/completions", headers, body)
    }

    fn raw(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    /// Sends it and keeps the connection open; status and kind of error of the answer.
    fn answer(self, address: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        // The daemon may answer and close before it has read all.
        let _ = stream.write_all(&self.0);
        let mut answer = Vec::new();
        let mut buf = [0; 4096];
        loop {
            let text = String::from_utf8_lossy(&answer).into_owned();
            if let Some(read) = parse(&text) {
                return read;
            }
            let n = stream.read(&mut buf).expect("an answer in time");
            assert_ne!(n, 0, "closed after {text:?}");
            answer.extend_from_slice(&buf[..n]);
        }
    }
}

/// Status and kind, once the whole answer is there.
fn parse(answer: &str) -> Option<(u16, String)> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
    if body.len() < length.parse().ok()? {
        return None;
    }
    let json: Value = serde_json::from_str(body).unwrap_or_default();
    let kind = json.pointer("/error/kind").and_then(Value::as_str);
    Some((status, kind.unwrap_or_default().to_owned()))
}

/// The caller sends something wrong and is told so, with a status and a kind from the list; no
/// engine hears of it, and another caller is served as if nothing had happened.
fn bad(sent: Sent, expected: (u16, &str)) {
    harness::run(async {
        let mut layout = harness::layout(2, vec![harness::engine(4)]);
        layout
            .settings
            .insert("body_limit".to_owned(), json!(BODY_LIMIT));
        layout
            .settings
            .insert("body_timeout_ms".to_owned(), json!(BODY_TIMEOUT_MS));
        let cluster = Cluster::start(layout).await.unwrap();
        let address = cluster.daemons[0].callers.to_string();
        let (status, kind) = sent.answer(&address);
        assert_eq!((status, kind.as_str()), expected);
        assert_eq!(harness::begun(&cluster).await.len(), 0);
        let neighbour = harness::send(&cluster, 0, harness::keyed("neighbour", 5));
        harness::assert_whole(&neighbour.await);
    });
}

macro_rules! bad {
    ($($name:ident: $sent:expr => $status:literal $kind:literal;)*) => {
        $(
            #[test]
            fn $name() {
                bad($sent, ($status, $kind));
            }
        )*
    };
}

const GOOD: &str = r#"{"model": "lab", "prompt": "hello", "max_tokens": 2}"#;

fn long(length: usize) -> String {
    "x".repeat(length)
}

bad! {
    // The library that reads heads answers these two by itself, without a body.
    malformed_http: Sent::raw("NONSENSE\r\n\r\n") => 400 "";
    oversized_head: Sent::completion(&format!("X: {}\r\n", long(128 * 1024)), GOOD) => 431 "";

    body_is_a_list: Sent::completion("", "[1]") => 400 "bad_request";
    deadline_is_a_word: Sent::completion("Lilaccrank-Deadline-Ms: soon\r\n", GOOD) => 400 "bad_request";
    deadline_is_beyond_the_clock: Sent::completion("Lilaccrank-Deadline-Ms: 18446744073709551615\r\n", GOOD) => 400 "bad_request";
    foreign_tier: Sent::completion("Lilaccrank-Tier: royal\r\n", GOOD) => 403 "forbidden";
    idempotence_is_a_guess: Sent::completion("Lilaccrank-Idempotent: maybe\r\n", GOOD) => 400 "bad_request";
    key_is_empty: Sent::completion("Idempotency-Key: \r\n", GOOD) => 400 "bad_request";
    key_is_too_long: Sent::completion(&format!("Idempotency-Key: {}\r\n", long(257)), GOOD) => 400 "bad_request";
    malformed_json: Sent::completion("", "{\"model\": ") => 400 "bad_request";
    max_tokens_is_zero: Sent::completion("", r#"{"model": "lab", "prompt": "", "max_tokens": 0}"#) => 400 "bad_request";
    messages_are_missing: Sent::request("/v1/chat/completions", "", GOOD) => 400 "bad_request";
    model_is_a_number: Sent::completion("", r#"{"model": 1, "prompt": ""}"#) => 400 "bad_request";
    no_rule_for_the_path: Sent::request("/elsewhere", "", GOOD) => 403 "no_rule";
    oversized_body: Sent::completion("", &long(BODY_LIMIT + 1)) => 413 "too_large";
    oversized_chunks: Sent::raw(&format!(
        "POST /v1/completions HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {}\r\n\
         Transfer-Encoding: chunked\r\n\r\n2000\r\n{}",
        Layout::customer_key("hospital"),
        long(0x2000),
    )) => 413 "too_large";
    prompt_is_missing: Sent::completion("", r#"{"model": "lab"}"#) => 400 "bad_request";
    slow_sender: Sent::raw(&format!(
        "POST /v1/completions HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {}\r\n\
         Content-Length: 100\r\n\r\n{{",
        Layout::customer_key("hospital"),
    )) => 400 "bad_request";
    stream_is_a_word: Sent::completion("", r#"{"model": "lab", "prompt": "", "stream": "yes"}"#) => 400 "bad_request";
    unknown_model: Sent::completion("", r#"{"model": "other", "prompt": ""}"#) => 404 "unknown_model";
    wrong_key: Sent::with_key("/v1/completions", "wrong", "", GOOD) => 401 "unauthorized";
}

/// Size of an answer that no socket's buffers hold.
const LARGE: usize = 32 << 20;

// A caller with a large answer reads nothing of it. While it may still begin to, its answer counts
// against the limit of requests, and the next caller is told that the daemon is full. Then the
// answer is given up, and the daemon serves others again.
#[test]
fn caller_takes_nothing() {
    harness::run(async {
        let mut layout = harness::layout(1, Vec::new());
        layout.data_centres[0].services = 1;
        let settings = [
            ("body_limit", 2 * LARGE),
            ("body_timeout_ms", 1000),
            ("request_limit", 1),
        ];
        for (name, value) in settings {
            layout.settings.insert(name.to_owned(), json!(value));
        }
        let (address, _) = stub::target("200 OK", "x".repeat(LARGE).leak());
        let cluster = Cluster::start_with(layout, |document| {
            document.pools[1].targets[0].address = address;
        });
        let cluster = cluster.await.unwrap();
        let entry = cluster.daemons[0].callers.to_string();
        let mut stream = TcpStream::connect(&entry).unwrap();
        stream
            .write_all(&Sent::request("/jobs", "", "{}").0)
            .unwrap();
        stream.read_exact(&mut [0; 16]).unwrap();
        let next = Sent::request("/elsewhere", "", GOOD);
        monoio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(next.answer(&entry), (503, "overloaded".to_owned()));
        monoio::time::sleep(Duration::from_millis(2000)).await;
        let next = Sent::request("/elsewhere", "", GOOD);
        assert_eq!(next.answer(&entry), (403, "no_rule".to_owned()));
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.len() < LARGE, "{}", rest.len());
    });
}
