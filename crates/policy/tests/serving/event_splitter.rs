//! Guards against events that clients get twice, in part, or not at all.

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
fn only_whole_events_pass() {
    let mut splitter = EventSplitter::default();
    let first = event(1);
    let (head, tail) = first.split_at(7);
    assert_eq!(splitter.push(head.as_bytes()), Ok(None));
    assert!(!splitter.at_boundary());
    let rest = format!("{tail}{}id: 3\nda", event(2));
    let passed = splitter.push(rest.as_bytes()).expect("no fault");
    assert_eq!(text(passed), event(1) + &event(2));
    assert_eq!(splitter.last_id(), Some(2));
    assert!(!splitter.at_boundary());
}

#[test]
fn any_cut_of_the_bytes_gives_the_same_events() {
    let run = |cuts: Vec<u8>| -> bool {
        let whole: String = (1..20).map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut passed = String::new();
        let mut rest = whole.as_bytes();
        for cut in cuts {
            let (head, tail) = rest.split_at(usize::from(cut).min(rest.len()));
            passed += &text(splitter.push(head).expect("no fault"));
            rest = tail;
        }
        passed += &text(splitter.push(rest).expect("no fault"));
        passed == whole && splitter.at_boundary() && splitter.events() == 19
    };
    let generator = Gen::from_size_and_seed(40, 7);
    QuickCheck::new()
        .rng(generator)
        .quickcheck(run as fn(Vec<u8>) -> bool);
}

#[test]
fn a_resumed_stream_goes_on_after_the_last_whole_event() {
    let mut splitter = EventSplitter::default();
    let broken = event(1) + &event(2) + "id: 3\ndata: tok";
    assert_eq!(
        text(splitter.push(broken.as_bytes()).expect("no fault")),
        event(1) + &event(2)
    );
    splitter.switch_source();
    // The new source repeats an event that the client has.
    let resumed = event(2) + &event(3) + &event(4);
    assert_eq!(
        text(splitter.push(resumed.as_bytes()).expect("no fault")),
        event(3) + &event(4)
    );
}

#[test]
fn a_gap_after_a_resume_is_a_fault() {
    let mut splitter = EventSplitter::new(Some(4));
    splitter.switch_source();
    assert_eq!(splitter.push(event(6).as_bytes()), Err(StreamError::Gap));
}
