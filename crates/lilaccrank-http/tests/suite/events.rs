//! Streams of events, cut into whole events however their bytes come.

use lilaccrank_http::events::{Cutter, Error};

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";

fn cut(pieces: &[&[u8]]) -> Vec<(String, Option<String>)> {
    let mut cutter = Cutter::default();
    let mut events = Vec::new();
    for piece in pieces {
        cutter.push(piece);
        while let Some(event) = cutter.next_event().unwrap() {
            let text = String::from_utf8(event.bytes.to_vec()).unwrap();
            events.push((text, event.id));
        }
    }
    events
}

// Bytes come as the network likes; each event passes on unchanged, and only when it is whole.
#[test]
fn events_are_the_same_however_they_come() {
    let bytes = STREAM.as_bytes();
    let whole = cut(&[bytes]);
    let ids: Vec<_> = whole.iter().map(|(_, id)| id.as_deref()).collect();
    assert_eq!(ids, [Some("1"), Some("2"), None]);
    let text: String = whole.iter().map(|(text, _)| text.as_str()).collect();
    assert_eq!(text, STREAM);
    let bytewise: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(cut(&bytewise), whole);
    for at in 0..bytes.len() {
        assert_eq!(cut(&[&bytes[..at], &bytes[at..]]), whole, "cut at {at}");
    }
}

/// What is left over of a stream that stops at some place.
macro_rules! stops {
    ($name:ident, $stream:literal, $events:literal, $in_event:literal) => {
        #[test]
        fn $name() {
            let mut cutter = Cutter::default();
            cutter.push($stream);
            let mut events = 0;
            while cutter.next_event().unwrap().is_some() {
                events += 1;
            }
            assert_eq!((events, cutter.is_in_event()), ($events, $in_event));
        }
    };
}

// A target dies in the middle of an event. What there is of it must not reach the caller, nor pass
// for an event.
stops!(between_events, b"id: 1\ndata: a\n\n", 1, false);
stops!(in_an_id, b"id: 1\ndata: a\n\nid:", 1, true);
stops!(in_data, b"id: 1\ndata: a\n\nid: 2\ndata: b", 1, true);
stops!(before_the_empty_line, b"id: 1\ndata: a\n", 0, true);

// A stream that never ends an event would fill the memory.
#[test]
fn an_endless_event_is_an_error() {
    let mut cutter = Cutter::default();
    let piece = [b'x'; 64 << 10];
    let cut = (0..32).find_map(|_| {
        cutter.push(&piece);
        cutter.next_event().err()
    });
    assert_eq!(cut, Some(Error::TooLarge));
}
