//! Authentication between nodes.

use rstest::rstest;
use wire::seal::{Error, Seal};

const OLD: &[u8] = b"an old key of enough bytes";
const NEW: &[u8] = b"a new key of enough bytes!";

#[test]
fn key_rotation() {
    let old = Seal::new(OLD, None).unwrap();
    let both = Seal::new(NEW, Some(OLD.to_vec())).unwrap();
    assert_eq!(both.open(&old.close(b"hello")), Ok(&b"hello"[..]));
    assert_eq!(old.open(&both.close(b"hello")), Err(Error::Tag));
}

#[test]
fn changed_byte() {
    let seal = Seal::new(OLD, None).unwrap();
    let sealed = seal.close(b"hello");
    for at in 0..sealed.len() {
        let mut bad = sealed.clone();
        bad[at] ^= 1;
        assert_eq!(seal.open(&bad), Err(Error::Tag), "byte {at}");
    }
}

#[rstest]
#[case(b"")]
#[case(b"fifteen bytes..")]
fn short_bytes(#[case] sealed: &[u8]) {
    assert_eq!(
        Seal::new(OLD, None).unwrap().open(sealed),
        Err(Error::Short)
    );
}

#[test]
fn short_key() {
    assert_eq!(Seal::new(b"short".to_vec(), None).err(), Some(Error::Key));
}
