"""JSON text that cannot be checked, and duplicate fields."""

import pytest

from catkinfork.validation import ERROR, MAX_CONTENT_BYTES, UnusableError, check_json
from catkinfork.validation._json import MAX_DEPTH


@pytest.mark.parametrize(
    ("content", "detail"),
    [
        (b"", "not JSON: Expecting value"),
        (b"{", "not JSON: Expecting property name"),
        (b"{}{}", "not JSON: Extra data"),
        (b'{"a":NaN}', "not JSON: NaN is not a number in JSON"),
        (b'{"a":-Infinity}', "not JSON: -Infinity is not a number"),
        (b'{"a":"\xff"}', "not UTF-8: invalid start byte (byte 6)"),
        (b"\xef\xbb\xbf{}", "not JSON: Unexpected UTF-8 BOM"),
        ('{"a":1}'.encode("utf-16"), "not UTF-8"),
        (b'{"a":["\\ud800"]}', "not Unicode: a text of $.a[0] has a lone surrogate"),
        (b'{"\\udc00":1}', "not Unicode: a text of $ has a lone surrogate"),
        (b"[" * 100_000, f"nested more than {MAX_DEPTH} levels deep"),
        (b'{"a":' * 100_000, f"nested more than {MAX_DEPTH} levels deep"),
        (b"[" * 65 + b"]" * 65, f"nested more than {MAX_DEPTH} levels deep"),
        (b" " * (MAX_CONTENT_BYTES + 1), f"more than {MAX_CONTENT_BYTES} bytes"),
    ],
    ids=range(14),
)
def test_content_that_cannot_be_checked_is_described(content, detail):
    """Guards against a traceback, or an unclear line, for content that is no JSON."""
    with pytest.raises(UnusableError) as caught:
        check_json(content)
    assert caught.value.detail.startswith(detail)
    assert caught.value.detail.isprintable()


@pytest.mark.parametrize(
    "content",
    [
        b"[" * MAX_DEPTH + b"]" * MAX_DEPTH,
        b'{"a": ' + b"1" * 100_000 + b"}",
        b'{"a": {"b": 1}, "c": {"b": 1}}',
        b'{"a": "\\ud83d\\ude00"}',
        b"{}" + b" " * (MAX_CONTENT_BYTES - 2),
    ],
    ids=range(5),
)
def test_odd_json_is_accepted(content):
    """Guards against a limit of Python's parser that the forwarders do not have."""
    assert check_json(content) == []


def test_duplicate_fields_are_located():
    """Guards against a field whose first value is silently dropped."""
    content = b'{"a": 1, "b": [{"c d": 1, "c\\u0020d": 2, "c d": 3}], "a": {}}'
    findings = check_json(content)
    assert [(finding.path, finding.severity) for finding in findings] == [
        ("$.a", ERROR),
        ('$.b[0]["c d"]', ERROR),
    ]
    assert "appears 3 times" in findings[1].text


def test_long_field_names_are_shortened():
    """Guards against output that a field name breaks or floods."""
    name = b"n\\n" * 100_000
    (finding,) = check_json(b'{"%s": 1, "%s": 2}' % (name, name))
    assert len(finding.describe()) < 300
    assert finding.describe().isprintable()
