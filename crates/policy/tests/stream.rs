//! Guards against tokens that are lost, repeated or out of order, and against a `done` event after
//! an incomplete response.

mod common;

use arbutus_coord::Millis;
use arbutus_policy::stream::Frame;
use arbutus_policy::stream::StreamAssembler;
use arbutus_policy::stream::StreamEvent;
use arbutus_policy::stream::StreamFault;

const STALL_MS: Millis = Millis(100);

fn token(source: u32, offset: u32) -> Frame {
    Frame::Token {
        offset,
        text: format!("{source}:{offset}"),
    }
}

/// Checks that the response is complete and has each token once, although frames are swapped,
/// repeated or lost and streams are truncated. Each step is one such edit of the frames of a
/// source. The stream is resumed after each fault.
fn response_is_complete(total: u8, steps: Vec<u8>) -> bool {
    let total = u32::from(total % 40);
    let mut assembler = StreamAssembler::new(Millis::ZERO, STALL_MS);
    let mut received = Vec::new();
    let mut now = Millis::ZERO;
    let mut stale_frames = Vec::new();
    let mut edits = steps.into_iter();
    for round in 0..1_000_u32 {
        let source = assembler.source();
        let mut frames: Vec<Frame> = (assembler.next_offset()..total)
            .map(|offset| token(round, offset))
            .collect();
        frames.push(Frame::Done { tokens: total });
        frames.push(Frame::End);
        for _ in 0..3 {
            let Some(step) = edits.next() else { break };
            let at = usize::from(step / 4) % frames.len();
            match step % 4 {
                0 => frames.swap(at, usize::from(step) % (at + 1)),
                1 => frames.insert(at, frames[at].clone()),
                2 => drop(frames.remove(at)),
                _ => frames.truncate(at),
            }
            if frames.is_empty() {
                break;
            }
        }
        let mut events = Vec::new();
        for frame in frames {
            now = now + Millis(1);
            for (source, frame) in stale_frames.drain(..) {
                events.extend(assembler.push(now, source, frame));
            }
            events.extend(assembler.push(now, source, frame));
        }
        now = now + STALL_MS;
        events.extend(assembler.check_stall(now));
        for event in events {
            match event {
                StreamEvent::Token { offset, text } => received.push((offset, text)),
                StreamEvent::Done { tokens } => {
                    let in_order = received.iter().map(|token| token.0).eq(0..total);
                    return tokens == total && in_order && assembler.is_complete();
                }
                StreamEvent::SourceFailed { resume_at, .. } => {
                    assert_eq!(
                        resume_at as usize,
                        received.len(),
                        "the offset should be that of the next token"
                    );
                }
            }
        }
        stale_frames.push((source, token(round, assembler.next_offset())));
        let next = assembler.resume(now);
        assert!(next > source, "a new source should have a higher number");
    }
    false
}

#[test]
fn every_token_is_emitted_once_and_in_order() {
    common::checker(2_000).quickcheck(response_is_complete as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn a_frame_of_a_replaced_source_is_dropped() {
    let mut assembler = StreamAssembler::new(Millis::ZERO, STALL_MS);
    let first = assembler.source();
    assert_eq!(assembler.push(Millis(1), first, token(0, 0)).len(), 1);
    assert_eq!(assembler.check_stall(Millis(100)), None);
    let stalled = StreamEvent::SourceFailed {
        fault: StreamFault::Stalled,
        resume_at: 1,
    };
    assert_eq!(assembler.check_stall(Millis(101)), Some(stalled));
    let second = assembler.resume(Millis(101));
    assert!(assembler.push(Millis(102), first, token(0, 1)).is_empty());
    assert_eq!(assembler.push(Millis(102), second, token(1, 1)).len(), 1);
    assert_eq!(assembler.counters().stale, 1);
}

#[test]
fn a_total_that_contradicts_the_tokens_is_a_fault() {
    for (tokens, fault) in [(1, StreamFault::WrongTotal), (3, StreamFault::Truncated)] {
        let mut assembler = StreamAssembler::new(Millis::ZERO, STALL_MS);
        let source = assembler.source();
        let mut events = Vec::new();
        for frame in [token(0, 0), token(0, 1), Frame::Done { tokens }, Frame::End] {
            events.extend(assembler.push(Millis(1), source, frame));
        }
        let failed = StreamEvent::SourceFailed {
            fault,
            resume_at: 2,
        };
        assert_eq!(events.last(), Some(&failed));
        assert!(!assembler.is_complete());
    }
}
