//! Targets that give one fixed answer, and callers that see each byte of theirs.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use lilaccrank_lab::layout::Layout;

/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of a part of an event without end.
const ENDLESS_PART: usize = 1 << 14;

/// A target that answers each post with a status, which further header lines may follow, and a
/// body; its address, and the count of posts begun.
pub fn target(head: &'static str, body: &'static str) -> (String, Arc<AtomicUsize>) {
    serve(move |_| (head, body.to_owned()))
}

/// A target that answers each post with the post as it came; its address.
pub fn echo() -> String {
    serve(|post| ("200 OK", post)).0
}

/// A target that answers each post with an event that has this line again and again, until its connection
/// ends; its address, and the bytes that it could write.
pub fn endless_event(line: &'static str) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buf = [0; 4096];
            // A daemon may reset a connection that it has opened to see whether the target is there.
            let read = stream.read(&mut buf).unwrap_or(0);
            if !buf[..read].starts_with(b"POST") {
                continue;
            }
            let part = line.repeat(ENDLESS_PART / line.len());
            let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
            let mut written = stream.write_all(head.as_bytes());
            while written.is_ok() {
                count.fetch_add(part.len(), Ordering::SeqCst);
                written = stream.write_all(part.as_bytes());
            }
        }
    });
    (address, written)
}

fn serve(
    answer: impl Fn(String) -> (&'static str, String) + Send + 'static,
) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let begun = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&begun);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buf = [0; 4096];
            let read = stream.read(&mut buf).unwrap();
            let post = String::from_utf8_lossy(&buf[..read]).into_owned();
            if !post.starts_with("POST") {
                continue;
            }
            count.fetch_add(1, Ordering::SeqCst);
            let (head, body) = answer(post);
            let length = body.len();
            // A caller may have given up before the end.
            let _ = write!(
                stream,
                "HTTP/1.1 {head}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
            );
        }
    });
    (address, begun)
}

/// The whole answer to a post of the customer, head and body.
pub fn post(address: &str, path: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let (key, length) = (Layout::customer_key("hospital"), body.len());
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {key}\r\n{headers}\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}
