"""Which requests have the same fingerprint."""

from __future__ import annotations

from dataclasses import replace

from leadseam.crashes.fingerprint import fingerprint
from tests.routing.samples import make_request


def test_the_same_request_sent_again_has_the_same_fingerprint() -> None:
    first = make_request("a", request_id="r-1")
    again = replace(make_request("b", request_id="r-2"), resume_after="3")
    assert fingerprint(first, "bank", b"{}") == fingerprint(again, "bank", b"{}")


def test_requests_differ_by_path_account_and_body() -> None:
    req = make_request()
    other = replace(req, target="/chat/2")
    fingerprints = {
        fingerprint(req, "bank", b"{}"),
        fingerprint(other, "bank", b"{}"),
        fingerprint(req, "shop", b"{}"),
        fingerprint(req, None, b"{}"),
        fingerprint(req, "bank", b"{ }"),
    }
    assert len(fingerprints) == 5


def test_a_query_counts_only_where_there_is_no_body() -> None:
    first = replace(make_request(), target="/chat/1?try=1")
    again = replace(make_request(), target="/chat/1?try=2")
    assert fingerprint(first, "bank", b"{}") == fingerprint(again, "bank", b"{}")
    assert fingerprint(first, "bank", b"") != fingerprint(again, "bank", b"")


def test_callers_without_an_account_differ_by_their_key() -> None:
    first = replace(make_request(), key="one")
    other = replace(make_request(), key="two")
    assert fingerprint(first, None, b"{}") != fingerprint(other, None, b"{}")
    assert "one" not in fingerprint(first, None, b"{}")
