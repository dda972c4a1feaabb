//! Fuzzing of every decoder that takes bytes from outside.

use ebonyspur::{
    config::{Record, Secret},
    lookup::Ticket,
    membership::Datagram,
    peer::{Authenticator, FrameReader, Purpose, Reply, Request},
    placement::Hint,
    relay::{EventReader, MAX_EVENT_BYTES},
    Settings, UnixMillis,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..ProptestConfig::default()
    }
}

fn sealer(purpose: Purpose) -> Authenticator {
    Authenticator::new(&[Secret::new("key-of-the-test-fleet")], purpose)
}

/// Reads one frame from bytes that are all there.
fn read_frame<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.build().expect("a runtime");
    let mut rx = bytes;
    runtime.block_on(FrameReader::new(sealer(Purpose::Frame)).read(&mut rx))
}

/// Changes one bit of `bytes`, or cuts them off.
fn damage(mut bytes: Vec<u8>, at: usize, bit: u8, cut: bool) -> Vec<u8> {
    let at = at % bytes.len();
    if cut {
        bytes.truncate(at);
    } else {
        bytes[at] ^= 1 << bit;
    }
    bytes
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_no_sealed_message(bytes in vec(any::<u8>(), 0..1_500)) {
        prop_assert!(sealer(Purpose::Datagram).verify(&bytes).is_none());
        prop_assert!(read_frame::<Request>(&bytes).is_err());
    }

    #[test]
    fn a_holder_of_the_key_cannot_upset_the_decoders(bytes in vec(any::<u8>(), 0..400)) {
        let _ = postcard::from_bytes::<Datagram>(&bytes);
        let _ = postcard::from_bytes::<Request>(&bytes);
        let _ = postcard::from_bytes::<Reply>(&bytes);
        let sealed = sealer(Purpose::Frame).sign_numbered(0, &bytes);
        let mut frame = (sealed.len() as u32).to_le_bytes().to_vec();
        frame.extend(sealed);
        let _ = read_frame::<Request>(&frame);
    }

    #[test]
    fn a_damaged_proof_never_holds(
        payload in vec(any::<u8>(), 0..200),
        at in any::<usize>(),
        bit in 0u8..8,
        cut: bool,
    ) {
        let sealer = sealer(Purpose::Datagram);
        let damaged = damage(sealer.sign(&payload), at, bit, cut);
        prop_assert!(sealer.verify(&damaged).is_none());
    }

    #[test]
    fn a_hint_is_read_back_or_refused(text in "[a-z0-9@,._ -]{0,60}|\\PC{0,600}") {
        if let Ok(hint) = text.parse::<Hint>() {
            prop_assert_eq!(hint.to_string().parse::<Hint>().ok(), Some(hint));
        }
    }

    #[test]
    fn a_ticket_that_was_changed_proves_nothing(at in any::<usize>(), text in "\\PC{0,90}") {
        let sealer = sealer(Purpose::Ticket);
        let ticket = Ticket::new(&sealer, UnixMillis(77_000), 5).to_string();
        prop_assert_eq!(Ticket::verify(&ticket, &sealer), Some(UnixMillis(77_000)));
        prop_assert_eq!(Ticket::verify(&text, &sealer), None);
        let mut changed = ticket.clone().into_bytes();
        let at = at % changed.len();
        changed[at] = if changed[at] == b'1' { b'2' } else { b'1' };
        let changed = String::from_utf8(changed).expect("text");
        prop_assert_eq!(Ticket::verify(&changed, &sealer), None);
    }

    #[test]
    fn events_do_not_depend_on_how_the_bytes_arrive(
        text in "(data: [a-z]{0,5}\n|id: [0-9]\n|\n|[:\r a-z]{0,4}\n){0,12}",
        bytes in vec(any::<u8>(), 0..40),
        cuts in vec(1usize..20, 0..40),
    ) {
        let all: Vec<u8> = text.bytes().chain(bytes).collect();
        let mut whole = EventReader::new();
        whole.push(&all);
        let mut pieces = EventReader::new();
        let mut rest = all.as_slice();
        for cut in cuts {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        loop {
            let (a, b) = (whole.next_event(), pieces.next_event());
            prop_assert_eq!(&a, &b);
            if !matches!(a, Ok(Some(_))) {
                break;
            }
        }
    }

    #[test]
    fn settings_are_read_or_refused(text in "([a-z]{1,9}(: |:\n  )[a-z0-9{}, '-]{0,12}\n){0,8}|\\PC{0,300}") {
        if let Err(err) = Settings::from_yaml(&text) {
            prop_assert!(!err.message().is_empty());
        }
    }

    #[test]
    fn a_record_of_any_shape_is_read(text in "\\PC{0,200}", number: u64, flag: bool) {
        let shapes = [
            serde_json::json!(text),
            serde_json::json!({ "record": text, "id": number }),
            serde_json::json!({ "record": "change", "id": text, "base": flag, "ops": [text] }),
            serde_json::json!({ "record": "checkpoint", "state": { "applied": text } }),
        ];
        for shape in shapes {
            let _ = serde_json::from_value::<Record>(shape);
        }
    }
}

#[test]
fn an_event_without_an_end_is_refused_at_its_limit() {
    let mut reader = EventReader::new();
    reader.push(&vec![b'a'; MAX_EVENT_BYTES + 1]);
    assert!(reader.next_event().is_err());
}
