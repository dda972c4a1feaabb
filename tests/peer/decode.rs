//! Property tests of every decoder that reads bytes from outside the process.

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

fn authenticator(purpose: Purpose) -> Authenticator {
    Authenticator::new(&[Secret::new("key-of-the-test-fleet")], purpose)
}

/// Reads one frame from `bytes`, as if nothing followed them.
fn decode_frame<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.build().expect("a runtime");
    let mut rx = bytes;
    runtime.block_on(FrameReader::new(authenticator(Purpose::Frame)).read(&mut rx))
}

/// Flips one bit of `bytes`, or truncates them.
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
    fn arbitrary_bytes_are_not_authentic(bytes in vec(any::<u8>(), 0..1_500)) {
        prop_assert!(authenticator(Purpose::Datagram).verify(&bytes).is_none());
        prop_assert!(decode_frame::<Request>(&bytes).is_err());
    }

    #[test]
    fn authentic_but_malformed_messages_do_not_panic_the_decoders(bytes in vec(any::<u8>(), 0..400)) {
        let _ = postcard::from_bytes::<Datagram>(&bytes);
        let _ = postcard::from_bytes::<Request>(&bytes);
        let _ = postcard::from_bytes::<Reply>(&bytes);
        let signed = authenticator(Purpose::Frame).sign_numbered(0, &bytes);
        let mut frame = (signed.len() as u32).to_le_bytes().to_vec();
        frame.extend(signed);
        let _ = decode_frame::<Request>(&frame);
    }

    #[test]
    fn damaged_messages_fail_verification(
        payload in vec(any::<u8>(), 0..200),
        at in any::<usize>(),
        bit in 0u8..8,
        cut: bool,
    ) {
        let authenticator = authenticator(Purpose::Datagram);
        let damaged = damage(authenticator.sign(&payload), at, bit, cut);
        prop_assert!(authenticator.verify(&damaged).is_none());
    }

    #[test]
    fn a_hint_round_trips_or_is_rejected(text in "[a-z0-9@,._ -]{0,60}|\\PC{0,600}") {
        if let Ok(hint) = text.parse::<Hint>() {
            prop_assert_eq!(hint.to_string().parse::<Hint>().ok(), Some(hint));
        }
    }

    #[test]
    fn a_changed_ticket_is_invalid(at in any::<usize>(), text in "\\PC{0,90}") {
        let authenticator = authenticator(Purpose::Ticket);
        let ticket = Ticket::new(&authenticator, UnixMillis(77_000), 5).to_string();
        prop_assert_eq!(Ticket::verify(&ticket, &authenticator), Some(UnixMillis(77_000)));
        prop_assert_eq!(Ticket::verify(&text, &authenticator), None);
        let mut changed = ticket.clone().into_bytes();
        let at = at % changed.len();
        changed[at] = if changed[at] == b'1' { b'2' } else { b'1' };
        let changed = String::from_utf8(changed).expect("text");
        prop_assert_eq!(Ticket::verify(&changed, &authenticator), None);
    }

    #[test]
    fn decoded_events_do_not_depend_on_how_the_bytes_are_split(
        text in "(data: [a-z]{0,5}\n|id: [0-9]\n|\n|[:\r a-z]{0,4}\n){0,12}",
        bytes in vec(any::<u8>(), 0..40),
        cuts in vec(1usize..20, 0..40),
    ) {
        let all: Vec<u8> = text.bytes().chain(bytes).collect();
        let mut whole_reader = EventReader::new();
        whole_reader.push(&all);
        let mut split_reader = EventReader::new();
        let mut rest = all.as_slice();
        for cut in cuts {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            split_reader.push(piece);
            rest = after;
        }
        split_reader.push(rest);
        loop {
            let (a, b) = (whole_reader.next_event(), split_reader.next_event());
            prop_assert_eq!(&a, &b);
            if !matches!(a, Ok(Some(_))) {
                break;
            }
        }
    }

    #[test]
    fn settings_are_read_or_rejected_with_a_message(text in "([a-z]{1,9}(: |:\n  )[a-z0-9{}, '-]{0,12}\n){0,8}|\\PC{0,300}") {
        if let Err(err) = Settings::from_yaml(&text) {
            prop_assert!(!err.message().is_empty());
        }
    }

    #[test]
    fn decoding_a_record_of_any_shape_does_not_panic(text in "\\PC{0,200}", number: u64, flag: bool) {
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
fn an_unterminated_event_is_rejected_above_the_size_limit() {
    let mut reader = EventReader::new();
    reader.push(&vec![b'a'; MAX_EVENT_BYTES + 1]);
    assert!(reader.next_event().is_err());
}
