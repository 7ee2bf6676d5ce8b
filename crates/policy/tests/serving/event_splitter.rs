//! Guards against events that clients get twice, in part or not at all.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use arbutus_policy::serving::event_splitter::EventSplitter;
use arbutus_policy::serving::event_splitter::StreamError;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn text(events: Option<bytes::Bytes>) -> String {
    events.map_or(String::new(), |events| {
        String::from_utf8(events.to_vec()).expect("events are text")
    })
}

#[test]
fn only_complete_events_are_forwarded() {
    let mut splitter = EventSplitter::default();
    let first = event(1);
    let (head, tail) = first.split_at(7);
    assert_eq!(splitter.push(head.as_bytes()), Ok(None));
    assert!(!splitter.is_at_event_boundary());
    let rest = format!("{tail}{}id: 3\nda", event(2));
    let forwarded = splitter.push(rest.as_bytes()).expect("the stream is valid");
    assert_eq!(text(forwarded), event(1) + &event(2));
    assert_eq!(splitter.last_id(), Some(2));
    assert!(!splitter.is_at_event_boundary());
}

#[test]
fn events_do_not_depend_on_how_the_bytes_are_split() {
    let splits_equally = |chunk_sizes: Vec<u8>| -> bool {
        let stream: String = (1..20).map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut forwarded = String::new();
        let mut rest = stream.as_bytes();
        for chunk_size in chunk_sizes {
            let (head, tail) = rest.split_at(usize::from(chunk_size).min(rest.len()));
            forwarded += &text(splitter.push(head).expect("the stream is valid"));
            rest = tail;
        }
        forwarded += &text(splitter.push(rest).expect("the stream is valid"));
        forwarded == stream && splitter.is_at_event_boundary() && splitter.event_count() == 19
    };
    let generator = Gen::from_size_and_seed(40, 7);
    QuickCheck::new()
        .rng(generator)
        .quickcheck(splits_equally as fn(Vec<u8>) -> bool);
}

#[test]
fn a_new_source_continues_after_the_last_complete_event() {
    let mut splitter = EventSplitter::default();
    let interrupted = event(1) + &event(2) + "id: 3\ndata: tok";
    assert_eq!(
        text(
            splitter
                .push(interrupted.as_bytes())
                .expect("the stream is valid")
        ),
        event(1) + &event(2)
    );
    splitter.switch_source();
    // The new source repeats an event that the client already has.
    let continued = event(2) + &event(3) + &event(4);
    assert_eq!(
        text(
            splitter
                .push(continued.as_bytes())
                .expect("the stream is valid")
        ),
        event(3) + &event(4)
    );
}

#[test]
fn a_gap_after_a_switch_of_the_source_is_an_error() {
    let mut splitter = EventSplitter::new(Some(4));
    splitter.switch_source();
    assert_eq!(splitter.push(event(6).as_bytes()), Err(StreamError::Gap));
}

/// Guards against text of an error, or a whole response head, among the events of a client: a target
/// can write a second response after a body without a length, and one that continues a stream can
/// answer with an error.
#[test]
fn what_is_no_event_of_the_stream_is_not_forwarded() {
    let intruders = [
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\r\n",
        "event: error\ndata: out of memory\n\n",
        "{\"error\":\"internal\"}\n\n",
        "id: none\ndata: token\n\n",
        // A second copy of the stream.
        "id: 1\ndata: token 1\n\n",
        "id: 2\ndata: token 2\n\n",
    ];
    for intruder in intruders {
        for switches_source in [false, true] {
            let mut splitter = EventSplitter::default();
            let begun = format!("{}{}", event(1), event(2));
            assert_eq!(text(splitter.push(begun.as_bytes()).expect("valid")), begun);
            if switches_source && !intruder.starts_with("id: ") {
                splitter.switch_source();
            }
            assert!(splitter.push(intruder.as_bytes()).is_err(), "{intruder}");
            assert!(!splitter.is_at_event_boundary());
        }
    }
}

/// Guards against events that are lost because they arrive together with what ends the source.
#[test]
fn events_before_an_intruder_are_forwarded_first() {
    let mut splitter = EventSplitter::default();
    let bytes = format!("{}{}error\n\n{}", event(1), event(2), event(3));
    let forwarded = splitter.push(bytes.as_bytes()).expect("events come first");
    assert_eq!(text(forwarded), event(1) + &event(2));
    assert_eq!(splitter.last_id(), Some(2));
    assert_eq!(splitter.push(&[]), Err(StreamError::Unidentified));
    assert!(!splitter.is_at_event_boundary());
    splitter.switch_source();
    let continued = splitter.push(event(3).as_bytes()).expect("valid");
    assert_eq!(text(continued), event(3));
}

#[test]
fn comments_are_forwarded_and_need_no_identifier() {
    let mut splitter = EventSplitter::default();
    let bytes = format!(": alive\n\n{}: alive\n\n", event(1));
    let forwarded = splitter.push(bytes.as_bytes()).expect("valid");
    assert_eq!(text(forwarded), bytes);
    assert_eq!(splitter.event_count(), 1);
}

/// A client that continues a stream gets no event that it has, whatever its target sends.
#[test]
fn events_that_the_client_has_are_dropped_at_the_begin() {
    let mut splitter = EventSplitter::new(Some(2));
    let bytes: String = (1..=4).map(event).collect();
    let forwarded = splitter.push(bytes.as_bytes()).expect("valid");
    assert_eq!(text(forwarded), event(3) + &event(4));
}
