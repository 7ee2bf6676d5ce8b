//! Guards against a `not run` that is false, and against answers given to another request.

use arbutus_coord::Millis;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::EchoMismatch;
use arbutus_policy::attempt::EchoedIds;

fn ids() -> AttemptIds {
    AttemptIds {
        request: "r1".to_owned(),
        stage: "encode".to_owned(),
        attempt: "a1".to_owned(),
    }
}

#[test]
fn only_a_request_of_which_nothing_was_sent_proves_not_run() {
    let unreachable = Attempt::first(ids()).with_attempt_id("a2".to_owned());
    assert_eq!(unreachable.ids().attempt, "a2");
    let proof = unreachable.not_run().expect("nothing was sent");
    assert_eq!(proof.request(), "r1");
    let sent = Attempt::first(ids()).send(Millis(7));
    let retry = sent.next_attempt("encode".to_owned(), "a2".to_owned());
    let refused = retry.with_attempt_id("a3".to_owned()).not_run();
    assert_eq!(refused.expect_err("an attempt was sent").request, "r1");
}

#[test]
fn an_answer_has_to_echo_all_identifiers() {
    let sent = Attempt::first(ids()).send(Millis(7));
    let echo = EchoedIds {
        request: Some("r1"),
        stage: Some("encode"),
        attempt: Some("a1"),
    };
    assert_eq!(sent.check_echo(echo), Ok(()));
    let other = [
        (
            EchoedIds {
                request: Some("r2"),
                ..echo
            },
            EchoMismatch::Request,
        ),
        (
            EchoedIds {
                stage: None,
                ..echo
            },
            EchoMismatch::Stage,
        ),
        (
            EchoedIds {
                attempt: Some("a0"),
                ..echo
            },
            EchoMismatch::Attempt,
        ),
    ];
    for (echo, mismatch) in other {
        assert_eq!(sent.check_echo(echo), Err(mismatch));
    }
}

#[test]
fn a_failed_connection_proves_not_run_only_when_nothing_was_sent_before() {
    let taken_back = Attempt::first(ids()).send(Millis(7)).into_unsent();
    assert_eq!(
        taken_back.not_run().map(|proof| proof.request().to_owned()),
        Ok("r1".to_owned())
    );
    let sent = Attempt::first(ids()).send(Millis(7));
    let retry = sent.next_attempt("encode".to_owned(), "a2".to_owned());
    let refused = retry.send(Millis(8)).into_unsent().not_run();
    assert_eq!(refused.expect_err("an attempt was sent").request, "r1");
}

#[test]
fn an_attempt_that_was_hedged_proves_nothing_when_it_is_taken_back() {
    let first = Attempt::first(ids()).send(Millis(7));
    let hedge = first
        .next_attempt("encode".to_owned(), "a2".to_owned())
        .send(Millis(8));
    let proof = first.into_unsent().not_run();
    assert_eq!(proof.expect_err("the hedge was sent").request, "r1");
    drop(hedge);
}
