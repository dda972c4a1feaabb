//! Event streams with repeated, foreign, missing, reordered, truncated or oversized events.

use ebonyspur::{
    relay::{EventReader, SequenceChecker, MAX_EVENT_BYTES},
    RequestId,
};
use expect_test::expect;

fn chunk(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {{\"id\":\"chatcmpl-{request}\",\"n\":{number}}}\n\n")
}

const END: &str = "data: [DONE]\n\n";

/// Feeds `bytes` in pieces of `piece` bytes and lists the kind or error of each event.
///
/// Before the event with index `resume_at`, the answer is marked as resumed.
fn check_events(bytes: &str, piece: usize, resume_at: Option<usize>) -> String {
    let mut events = EventReader::new();
    let mut sequence = SequenceChecker::new(&RequestId::new("mine").unwrap());
    let mut results = Vec::new();
    for piece in bytes.as_bytes().chunks(piece) {
        events.push(piece);
        loop {
            match events.next_event() {
                Ok(Some(event)) => {
                    if resume_at == Some(results.len()) {
                        sequence.mark_resumed();
                    }
                    let result = sequence.accept(&event).map(|result| format!("{result:?}"));
                    results.push(result.unwrap_or_else(|err| err.message().to_string()));
                }
                Ok(None) => break,
                Err(_) => return "oversized".into(),
            }
        }
    }
    let next = sequence.next_number();
    results.push(format!("next={next} whole={}", sequence.is_ended()));
    results.join(", ")
}

#[test]
fn an_answer_is_complete_only_with_all_its_own_parts_in_order() {
    let parts = |numbers: &[u64]| -> String { numbers.iter().map(|n| chunk("mine", *n)).collect() };
    let whole = parts(&[0, 1, 2]) + END;
    let cases = [
        ("whole", whole.clone(), None),
        ("cut", parts(&[0, 1]), None),
        (
            "cut within an event",
            whole[..whole.len() - 1].to_string(),
            None,
        ),
        ("foreign", parts(&[0]) + &chunk("other", 1) + END, None),
        ("gap", parts(&[0, 2]), None),
        (
            "gap before the end",
            parts(&[0]) + "id: 3\ndata: [DONE]\n\n",
            None,
        ),
        ("out of order", parts(&[1, 0]), None),
        ("repeated", parts(&[0, 0, 1]) + END, None),
        ("after the end", parts(&[0]) + END + &chunk("mine", 1), None),
        (
            "no number",
            "data: {\"id\":\"chatcmpl-mine\"}\n\n".into(),
            None,
        ),
        ("no chunk", "id: 0\ndata: hello\n\n".into(), None),
        ("resumed", parts(&[0, 1, 2]) + END, Some(2)),
        ("resumed anew", parts(&[0, 1, 0]), Some(2)),
    ];
    let mut table = String::new();
    for (name, bytes, resume_at) in cases {
        let outcome = check_events(&bytes, usize::MAX, resume_at);
        assert_eq!(
            outcome,
            check_events(&bytes, 1, resume_at),
            "the outcome depends on how the bytes are split"
        );
        table += &format!("{name}: {outcome}\n");
    }
    expect![[r#"
        whole: Part, Part, Part, End, next=3 whole=true
        cut: Part, Part, next=2 whole=false
        cut within an event: Part, Part, Part, next=3 whole=false
        foreign: Part, an event belongs to another request, an earlier event was rejected, next=1 whole=false
        gap: Part, an event is missing, next=1 whole=false
        gap before the end: Part, an event is missing before the end, next=1 whole=false
        out of order: an event is missing, an earlier event was rejected, next=0 whole=false
        repeated: Part, Repeated, Part, End, next=2 whole=true
        after the end: Part, End, an event follows the end of the answer, next=1 whole=true
        no number: an event has no numeric id, next=0 whole=false
        no chunk: an event is not a chat completion chunk, next=0 whole=false
        resumed: Part, Part, Part, End, next=3 whole=true
        resumed anew: Part, Part, the engine started a new answer instead of resuming, next=2 whole=false
    "#]].assert_eq(&table);
}

#[test]
fn an_event_without_an_end_is_rejected_at_the_size_limit() {
    let just_fits = format!("data: {}", "x".repeat(MAX_EVENT_BYTES - 6));
    let too_large = format!("data: {}", "x".repeat(MAX_EVENT_BYTES));
    expect!["next=0 whole=false"].assert_eq(&check_events(&just_fits, usize::MAX, None));
    expect!["oversized"].assert_eq(&check_events(&too_large, usize::MAX, None));
}

#[test]
fn events_end_with_an_empty_line_whatever_ends_their_lines() {
    let streams = [
        "data: a\n\ndata: b\n\n",
        "data: a\r\n\r\ndata: b\r\n\r\n",
        "data: a\r\rdata: b\r\r",
        "data: a\r\n\ndata: b\n\r",
        "data: a\ndata: b\n\n\n",
        "data\ndata:\ndata: c\r\r",
    ];
    let read = streams.map(|stream| {
        let mut events = EventReader::new();
        events.push(stream.as_bytes());
        let mut read = Vec::new();
        while let Ok(Some(event)) = events.next_event() {
            read.push(event.data);
        }
        format!("{read:?} left {}", events.len())
    });
    expect![[r#"
        ["a", "b"] left 0
        ["a", "b"] left 0
        ["a", "b"] left 0
        ["a"] left 9
        ["a\nb", ""] left 0
        ["\n\nc"] left 0"#]]
    .assert_eq(&read.join("\n"));
}
