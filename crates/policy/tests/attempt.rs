//! Guards against a false `not run`, and against a response that is used for another request.

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
fn only_a_request_without_sent_attempts_proves_not_run() {
    let retargeted = Attempt::first(ids()).with_attempt_id("a2".to_owned());
    assert_eq!(retargeted.ids().attempt, "a2");
    let proof = retargeted.not_run().expect("no attempt was sent");
    assert_eq!(proof.request(), "r1");
    let sent = Attempt::first(ids()).send(Millis(7));
    let retry = sent.next_attempt("encode".to_owned(), "a2".to_owned());
    let may_have_run = retry.with_attempt_id("a3".to_owned()).not_run();
    assert_eq!(may_have_run.expect_err("an attempt was sent").request, "r1");
}

#[test]
fn a_response_has_to_echo_all_identifiers() {
    let sent = Attempt::first(ids()).send(Millis(7));
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
fn a_failed_connection_proves_not_run_only_without_earlier_sent_attempts() {
    let unsent = Attempt::first(ids()).send(Millis(7)).into_unsent();
    assert_eq!(
        unsent.not_run().map(|proof| proof.request().to_owned()),
        Ok("r1".to_owned())
    );
    let sent = Attempt::first(ids()).send(Millis(7));
    let retry = sent.next_attempt("encode".to_owned(), "a2".to_owned());
    let may_have_run = retry.send(Millis(8)).into_unsent().not_run();
    assert_eq!(may_have_run.expect_err("an attempt was sent").request, "r1");
}

#[test]
fn a_hedged_attempt_does_not_prove_not_run_after_a_failed_connection() {
    let first = Attempt::first(ids()).send(Millis(7));
    let hedge = first
        .next_attempt("encode".to_owned(), "a2".to_owned())
        .send(Millis(8));
    let may_have_run = first.into_unsent().not_run();
    assert_eq!(may_have_run.expect_err("the hedge was sent").request, "r1");
    drop(hedge);
}
