//! Guards against a proof of non-execution although a target may have received the request, and
//! against a response that is used for another request.

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
fn only_a_request_without_sent_attempts_proves_non_execution() {
    let unsent = Attempt::first(ids()).with_attempt_id("a2".to_owned());
    assert_eq!(unsent.ids().attempt, "a2");
    let proof = unsent.prove_not_executed().expect("no attempt was sent");
    assert_eq!(proof.request(), "r1");
    let sent = Attempt::first(ids()).mark_sent(Millis(7));
    let retry = sent.next_attempt("encode".to_owned(), "a2".to_owned());
    let may_have_executed = retry.with_attempt_id("a3".to_owned()).prove_not_executed();
    assert_eq!(
        may_have_executed.expect_err("an attempt was sent").request,
        "r1"
    );
}

#[test]
fn a_response_has_to_echo_all_identifiers() {
    let sent = Attempt::first(ids()).mark_sent(Millis(7));
    let echo = EchoedIds {
        request: Some("r1"),
        stage: Some("encode"),
        attempt: Some("a1"),
    };
    assert_eq!(sent.check_echo(echo), Ok(()));
    let mismatches = [
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
    for (echo, mismatch) in mismatches {
        assert_eq!(sent.check_echo(echo), Err(mismatch));
    }
}

#[test]
fn a_failed_connection_proves_non_execution_only_without_earlier_sent_attempts() {
    let unsent = Attempt::first(ids()).mark_sent(Millis(7)).into_unsent();
    assert_eq!(
        unsent
            .prove_not_executed()
            .map(|proof| proof.request().to_owned()),
        Ok("r1".to_owned())
    );
    let sent = Attempt::first(ids()).mark_sent(Millis(7));
    let retry = sent.next_attempt("encode".to_owned(), "a2".to_owned());
    let may_have_executed = retry
        .mark_sent(Millis(8))
        .into_unsent()
        .prove_not_executed();
    assert_eq!(
        may_have_executed.expect_err("an attempt was sent").request,
        "r1"
    );
}

#[test]
fn a_hedged_attempt_does_not_prove_non_execution_after_a_failed_connection() {
    let first = Attempt::first(ids()).mark_sent(Millis(7));
    let hedge = first
        .next_attempt("encode".to_owned(), "a2".to_owned())
        .mark_sent(Millis(8));
    let may_have_executed = first.into_unsent().prove_not_executed();
    assert_eq!(
        may_have_executed.expect_err("the hedge was sent").request,
        "r1"
    );
    drop(hedge);
}
