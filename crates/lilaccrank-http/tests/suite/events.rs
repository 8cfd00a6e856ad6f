//! Tests the splitting of byte streams into server-sent events.

use lilaccrank_http::events::{Error, EventSplitter};

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";

fn split(pieces: &[&[u8]]) -> Vec<(String, Option<String>)> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event().unwrap() {
            let text = String::from_utf8(event.bytes.to_vec()).unwrap();
            events.push((text, event.id));
        }
    }
    events
}

// Chunks may end anywhere; each event must be returned unchanged, and only when it is complete.
#[test]
fn chunk_boundaries_do_not_change_events() {
    let bytes = STREAM.as_bytes();
    let whole = split(&[bytes]);
    let ids: Vec<_> = whole.iter().map(|(_, id)| id.as_deref()).collect();
    assert_eq!(ids, [Some("1"), Some("2"), None]);
    let text: String = whole.iter().map(|(text, _)| text.as_str()).collect();
    assert_eq!(text, STREAM);
    let bytewise: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(split(&bytewise), whole);
    for at in 0..bytes.len() {
        assert_eq!(split(&[&bytes[..at], &bytes[at..]]), whole, "cut at {at}");
    }
}

/// Checks how many events a truncated stream yields and if an incomplete one is left.
macro_rules! truncated {
    ($name:ident, $stream:literal, $events:literal, $in_event:literal) => {
        #[test]
        fn $name() {
            let mut splitter = EventSplitter::default();
            splitter.push($stream);
            let mut events = 0;
            while splitter.next_event().unwrap().is_some() {
                events += 1;
            }
            assert_eq!((events, splitter.is_in_event()), ($events, $in_event));
        }
    };
}

// A target fails in the middle of an event. The incomplete event must not reach the caller or count
// as an event.
truncated!(between_events, b"id: 1\ndata: a\n\n", 1, false);
truncated!(in_id, b"id: 1\ndata: a\n\nid:", 1, true);
truncated!(in_data, b"id: 1\ndata: a\n\nid: 2\ndata: b", 1, true);
truncated!(before_empty_line, b"id: 1\ndata: a\n", 0, true);

// Guards against unbounded memory use by a stream that never ends an event.
#[test]
fn unterminated_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    let piece = [b'x'; 64 << 10];
    let error = (0..32).find_map(|_| {
        splitter.push(&piece);
        splitter.next_event().err()
    });
    assert_eq!(error, Some(Error::TooLarge));
}
