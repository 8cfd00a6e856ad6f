use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::caller;
use crate::process::Process;

const SILENCE: Duration = Duration::from_millis(200);
const ANSWER: Duration = Duration::from_secs(5);

/// Starts a server that sends each byte back, and a wire to it.
fn start() -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || echo(stream));
        }
    });
    Process::start(&["wire", "--to", &to])
}

fn echo(mut stream: TcpStream) {
    let mut buf = [0; 1];
    while stream.read_exact(&mut buf).is_ok() && stream.write_all(&buf).is_ok() {}
}

fn set(wire: &Process, control: &Value) {
    caller::run(async { caller::post(&wire.control, "/", control).await.ok() });
}

fn connect(wire: &Process) -> TcpStream {
    TcpStream::connect(&wire.address).unwrap()
}

/// Sends a byte and waits for its return.
fn ask(stream: &mut TcpStream, wait: Duration) -> Result<(), ErrorKind> {
    stream.set_read_timeout(Some(wait)).unwrap();
    let asked = stream.write_all(b"x");
    let answered = asked.and_then(|()| stream.read_exact(&mut [0]));
    answered.map_err(|e| e.kind())
}

// Something between the two ends loses track of the open connections: the caller's next bytes on
// one get neither answer nor error, for good, while a new connection works at once.
#[test]
fn silence_is_for_good_and_new_connections_work() {
    let wire = start();
    let mut old = connect(&wire);
    assert_eq!(ask(&mut old, ANSWER), Ok(()));
    set(&wire, &json!({"mode": "silent"}));
    assert_eq!(ask(&mut old, SILENCE), Err(ErrorKind::WouldBlock));
    assert_eq!(ask(&mut connect(&wire), ANSWER), Ok(()));
    set(&wire, &json!({"mode": "open"}));
    assert_eq!(ask(&mut old, SILENCE), Err(ErrorKind::WouldBlock));
}

// The caller connects as ever, and then hears nothing on any connection, until the wire is open
// again for new ones.
#[test]
fn black_hole_takes_new_connections_and_forwards_nothing() {
    let wire = start();
    set(&wire, &json!({"mode": "black-hole"}));
    let mut swallowed = connect(&wire);
    assert_eq!(ask(&mut swallowed, SILENCE), Err(ErrorKind::WouldBlock));
    set(&wire, &json!({"mode": "open"}));
    assert_eq!(ask(&mut swallowed, SILENCE), Err(ErrorKind::WouldBlock));
    assert_eq!(ask(&mut connect(&wire), ANSWER), Ok(()));
}

// A cut is loud: the open connection is reset, a new one is refused, so that the caller knows at
// once that nothing was sent; mended, the wire takes connections at the same address.
#[test]
fn cut_resets_and_refuses_until_mended() {
    let wire = start();
    let mut old = connect(&wire);
    assert_eq!(ask(&mut old, ANSWER), Ok(()));
    set(&wire, &json!({"mode": "cut"}));
    let read = old.read(&mut [0]).map_err(|e| e.kind());
    assert_eq!(read, Err(ErrorKind::ConnectionReset));
    let refused = TcpStream::connect(&wire.address).map_err(|e| e.kind());
    assert!(matches!(refused, Err(ErrorKind::ConnectionRefused)));
    set(&wire, &json!({"mode": "open"}));
    let begun = Instant::now();
    let mut new = loop {
        match TcpStream::connect(&wire.address) {
            Ok(stream) => break stream,
            Err(e) => assert!(begun.elapsed() < ANSWER, "{e}"),
        }
    };
    assert_eq!(ask(&mut new, ANSWER), Ok(()));
}

#[test]
fn slow_wire_delays_each_way() {
    let wire = start();
    set(&wire, &json!({"mode": "slow", "delay_ms": 50}));
    let mut stream = connect(&wire);
    let begun = Instant::now();
    assert_eq!(ask(&mut stream, ANSWER), Ok(()));
    assert!(begun.elapsed() >= Duration::from_millis(100));
}

#[test]
fn datagrams_pass_both_ways_or_are_lost() {
    let far = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = far.local_addr().unwrap().to_string();
    let wire = Process::start(&["wire", "--udp", "--to", &to]);
    let near = UdpSocket::bind("127.0.0.1:0").unwrap();
    near.connect(&wire.address).unwrap();
    far.set_read_timeout(Some(ANSWER)).unwrap();
    near.set_read_timeout(Some(ANSWER)).unwrap();
    let mut buf = [0; 8];
    near.send(b"ping").unwrap();
    let (size, sender) = far.recv_from(&mut buf).unwrap();
    assert_eq!(&buf[..size], b"ping");
    far.send_to(b"pong", sender).unwrap();
    let size = near.recv(&mut buf).unwrap();
    assert_eq!(&buf[..size], b"pong");
    set(&wire, &json!({"loss": 1.0, "mode": "open"}));
    near.send(b"lost").unwrap();
    far.set_read_timeout(Some(SILENCE)).unwrap();
    assert!(far.recv_from(&mut buf).is_err());
}
