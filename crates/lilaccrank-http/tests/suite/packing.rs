//! Bodies between daemons come out as they went in, smaller on the way where that pays.

use lilaccrank_http::packing::{self, Packed};
use quickcheck::quickcheck;

quickcheck! {
    fn comes_out_as_it_went_in(buf: Vec<u8>, times: u8) -> bool {
        let buf = buf.repeat(usize::from(times));
        packing::unpack(packing::pack(buf.clone())).unwrap() == buf
    }

    fn damaged_bytes_are_no_panic(buf: Vec<u8>) -> bool {
        packing::unpack(Packed { buf, deflated: true }).is_err()
    }
}

fn customers(count: usize) -> Vec<u8> {
    let customer = |i| format!("{{\"id\":\"customer-{i}\",\"tiers\":[\"urgent\",\"bulk\"]}},");
    (0..count).map(customer).collect::<String>().into_bytes()
}

#[test]
fn a_section_of_customers_shrinks() {
    let buf = customers(200);
    let packed = packing::pack(buf.clone());
    assert!(packed.deflated);
    assert!(packed.buf.len() * 2 < buf.len());
}

#[test]
fn small_and_large_bodies_stay_as_they_are() {
    for buf in [customers(10), customers(10_000)] {
        let packed = packing::pack(buf.clone());
        assert_eq!(
            packed,
            Packed {
                buf,
                deflated: false
            }
        );
    }
}

// A few bytes that claim to be 64 MB of zeros end with an error, not with 64 MB.
#[test]
fn a_body_that_grows_too_large_is_an_error() {
    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::best());
    std::io::Write::write_all(&mut encoder, &vec![0; 64 << 20]).unwrap();
    let buf = encoder.finish().unwrap();
    assert!(buf.len() < 1 << 18);
    let bomb = Packed {
        buf,
        deflated: true,
    };
    assert!(packing::unpack(bomb).is_err());
}
