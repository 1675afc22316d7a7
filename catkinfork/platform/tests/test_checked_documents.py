"""Agreement of the check of a document with the decoder, over generated documents."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from catkinfork.platform import PlatformDecoder, check_document
from catkinfork.platform.tests.samples import (
    Fields,
    JsonText,
    encode_document,
    make_document,
)
from catkinfork.topology import Item, UnreadableItem
from catkinfork.validation import ERROR, UnusableError, check_configuration

# JSON texts of values that are odd for most fields, and valid for some.
TEXTS = [
    *("0", "1", "-1", "1.0", "0.5", "-0", "1e3", "-1e-9", "1e308", "1e999", "01", "1."),
    *("9223372036854775807", "9223372036854775808", "9" * 400, "NaN", "Infinity"),
    *("null", "true", "false", '""', '"a"', '"safe"', '"streaming"', '"ledger"'),
    *('"\\n"', '"\\ud800"', '"\\ud83d\\ude00"', '"\n"', '"\\x"', '"' + "n" * 300 + '"'),
    *("[]", "{}", "[{}]", "[null]", '["a"]', '{"service": "a", "weight": 1}', "{", ""),
    *("[" * 60 + "]" * 60, "[" * 70 + "]" * 70, "[" * 2000 + "]" * 2000, "[" * 2000),
    *('{"slots": 1, "kv_capacity": 1}', '{"slots": 1, "slots": 2, "kv_capacity": 1}'),
]
NAMES = ["version", "name", "weight", "slots", "aim_ms", "timeout", "x", "", "\n"]
BYTES = [b"\xff", b"\x00", b"\xef\xbb\xbf", b"{", b"]", b'"', b"\\", b",", b"-", b"9"]


def list_places(value, path=()):
    """Return the paths of all values of a document."""
    if isinstance(value, dict):
        items = value.items()
    else:
        items = enumerate(value) if isinstance(value, list) else ()
    places = [path] if path else []
    for step, item in items:
        places += list_places(item, (*path, step))
    return places


def change_place(document, path, kind, text, name):
    """Change a document at a path: set, remove or repeat a value, or add a field.

    A path that an earlier change has removed is passed over.
    """
    *parents, last = path
    for step in parents:
        is_field = isinstance(document, dict) and step in document
        is_entry = isinstance(document, list) and isinstance(step, int)
        if not is_field and not (is_entry and step < len(document)):
            return
        document = document[step]
    if isinstance(document, dict):
        change_object(document, last, kind, text, name)
    elif isinstance(document, list) and isinstance(last, int) and last < len(document):
        change_list(document, last, kind, text)


def change_object(document, last, kind, text, name):
    """Change a field of an object."""
    if kind == "remove":
        document.pop(last, None)
    elif kind == "repeat":
        # Replaces the object by one with the field twice, through its parent's field.
        document[last] = Fields([(name, JsonText(text)), (name, JsonText(text))])
    else:
        document[last if kind == "set" else name] = JsonText(text)


def change_list(document, last, kind, text):
    """Change an entry of a list."""
    if kind == "remove":
        del document[last]
    elif kind == "repeat":
        document.append(document[last])
    else:
        document[last] = JsonText(text)


PLACES = list_places(make_document())
CHANGES = st.lists(
    st.tuples(
        st.sampled_from(PLACES),
        st.sampled_from(["set", "set", "remove", "repeat", "add"]),
        st.sampled_from(TEXTS),
        st.sampled_from(NAMES),
    ),
    max_size=4,
)
# Parts of the bytes to replace: start, length and the new bytes.
CUTS = st.lists(
    st.tuples(st.integers(0, 2500), st.integers(0, 20), st.sampled_from([b"", *BYTES])),
    max_size=1,
)


def build_content(changes, is_repeated, cuts):
    """Return the bytes of a changed document."""
    document = make_document()
    for change in changes:
        change_place(document, *change)
    if is_repeated:
        fields = list(document.items())
        document = Fields(fields + fields[:1])
    content = encode_document(document)
    for start, length, replacement in cuts:
        content = content[:start] + replacement + content[start + length :]
    return content


def find_errors(content):
    """Return the paths and texts of the errors that are reported, and the check."""
    try:
        checked = check_document(content)
    except UnusableError as error:
        return [("", error.detail)], None
    errors = [one for one in checked.findings if one.severity == ERROR]
    return [(one.path, one.text) for one in errors], checked


def assert_agreement(content):
    """Assert that the check of a content agrees with the decoder.

    :returns: whether the decoder rejects it, and whether it cannot be checked.
    """
    decoded = PlatformDecoder().decode(Item("op/config", content, 1))
    errors, checked = find_errors(content)
    if isinstance(decoded, UnreadableItem):
        assert errors
        assert checked is None or checked.configuration is None
        return True, checked is None
    # The decoder skips unknown fields, where it accepts nesting and invalid UTF-8, and
    # it takes the last one of fields of the same name. The check accepts neither.
    if checked is None:
        ((_, detail),) = errors
        assert detail.startswith(("nested more than 64 levels", "not UTF-8"))
        return False, True
    assert all("the field appears" in text for _, text in errors)
    assert checked.configuration == decoded.configuration
    for finding in check_configuration(checked.configuration, checked.paths):
        assert finding.describe().isprintable()
    return False, False


@settings(max_examples=400, deadline=None, suppress_health_check=list(HealthCheck))
@given(CHANGES, st.sampled_from([False] * 7 + [True]), CUTS)
def test_check_agrees_with_the_decoder(changes, is_repeated, cuts):
    """Guards against a document that is called clean and that the forwarders reject,
    and against errors in one that they accept.
    """
    assert_agreement(build_content(changes, is_repeated, cuts))


def test_check_agrees_with_the_decoder_on_each_value():
    """Guards against the same for each odd value in each place, which generated
    documents reach rarely, and against documents that are all accepted or rejected.
    """
    kinds = {
        assert_agreement(build_content([(place, "set", text, "x")], False, []))
        for text in TEXTS
        for place in PLACES
    }
    assert kinds == {(True, True), (True, False), (False, False), (False, True)}
