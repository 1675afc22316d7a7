"""Differences that are shown before a document is promoted."""

from catkinfork.document import diff_documents, parse_document
from catkinfork.document.tests.samples import encode_document, make_document


def view_document(document):
    return parse_document(encode_document(document)).unwrap()


def test_same_bytes_have_no_difference():
    """Guards against lines for documents that do not differ."""
    view = view_document(make_document())
    assert diff_documents(view, view) == []


def test_every_kind_of_change_is_listed(snapshot):
    """Guards against a change that is not listed."""
    new = make_document()
    new["version"] = 13
    new["region"] = "rw-south"
    new["workspaces"][0] |= {"share": 4, "key_digests": ["d" * 64, "e" * 64]}
    new["workspaces"][1] = {"name": "ferries", "share": 0.5, "key_digests": []}
    new["data_centres"][0]["state"] = "out"
    new["data_centres"].append({"name": "nyarugenge"})
    new["pools"][0]["max_cost"] = 30000
    new["pools"].append({"name": "stock", "kind": "service", "max_cost": 100})
    new["backend_servers"][0] |= {"max_places": 6, "checks_fence": True}
    new["backend_servers"][1] |= {"state": "lost", "serves": ["ledger", "accounts"]}
    lines = diff_documents(view_document(make_document()), view_document(new))
    assert "\n".join(lines) == snapshot


def test_states_and_removals_are_listed(snapshot):
    """Guards against a return to service or a removal that is not listed."""
    old, new = make_document(), make_document()
    old["data_centres"][0]["state"] = "out"
    old["backend_servers"][1]["state"] = "lost"
    new["version"] = 11
    new["workspaces"].reverse()
    new["workspaces"][0]["key_digests"].reverse()
    del new["workspaces"][1]
    new["backend_servers"][0]["state"] = "out"
    new["backend_servers"][0]["serves"] = ["other"]
    lines = diff_documents(view_document(old), view_document(new))
    assert "\n".join(lines) == snapshot


def test_other_environment_is_listed():
    """Guards against comparing the versions of documents of two environments."""
    trial = make_document()
    trial |= {"environment": "trial", "version": 3}
    lines = diff_documents(view_document(trial), view_document(make_document()))
    assert lines == [
        "environment: trial -> production; a fleet accepts only documents of its own",
        "version: 3 -> 12",
    ]


def test_same_version_names_the_winner():
    """Guards against naming the wrong document as the winner of a conflict."""
    new = make_document()
    new["region"] = "rw-south"
    old_view, new_view = view_document(make_document()), view_document(new)
    old_wins = old_view.digest > new_view.digest
    winner, other = ("old", "new") if old_wins else ("new", "old")
    assert f"the {winner} document wins" in diff_documents(old_view, new_view)[0]
    assert f"the {other} document wins" in diff_documents(new_view, old_view)[0]
