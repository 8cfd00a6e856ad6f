//! Tests the compression of bodies sent between daemons.

use lilaccrank_http::compression::{self, EncodedBody};
use quickcheck::quickcheck;

quickcheck! {
    fn decompression_restores_the_body(buf: Vec<u8>, times: u8) -> bool {
        let buf = buf.repeat(usize::from(times));
        compression::decompress(compression::compress(buf.clone())).unwrap() == buf
    }

    fn corrupt_input_is_an_error(buf: Vec<u8>) -> bool {
        compression::decompress(EncodedBody { buf, deflated: true }).is_err()
    }
}

fn customers(count: usize) -> Vec<u8> {
    let customer = |i| format!("{{\"id\":\"customer-{i}\",\"tiers\":[\"urgent\",\"bulk\"]}},");
    (0..count).map(customer).collect::<String>().into_bytes()
}

#[test]
fn repetitive_body_is_compressed() {
    let buf = customers(200);
    let encoded = compression::compress(buf.clone());
    assert!(encoded.deflated);
    assert!(encoded.buf.len() * 2 < buf.len());
}

#[test]
fn small_and_large_bodies_are_not_compressed() {
    for buf in [customers(10), customers(10_000)] {
        let encoded = compression::compress(buf.clone());
        assert_eq!(
            encoded,
            EncodedBody {
                buf,
                deflated: false
            }
        );
    }
}

// Guards against a small body that decompresses to 64 MB.
#[test]
fn decompression_bomb_is_an_error() {
    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::best());
    std::io::Write::write_all(&mut encoder, &vec![0; 64 << 20]).unwrap();
    let buf = encoder.finish().unwrap();
    assert!(buf.len() < 1 << 18);
    let bomb = EncodedBody {
        buf,
        deflated: true,
    };
    assert!(compression::decompress(bomb).is_err());
}
