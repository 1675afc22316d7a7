"""Encoding and decoding of frames, rejection of invalid frames, and key files."""

import msgspec
import pytest

from catkinfork.protocol import (
    MAX_CONTROL_FRAME_BYTES,
    BadSignatureError,
    Demand,
    DemandEntry,
    FrameTooLargeError,
    FrameTruncatedError,
    Heartbeat,
    KeyFileError,
    KeyRing,
    MalformedMessageError,
    Sender,
    UnknownKeyError,
    UnknownMessageError,
    decode_frame,
    encode_frame,
    parse_keys,
)

SENDER = Sender("127.0.0.1:7000", 17, 3, "ab")
KEYS_TEXT = "00000001:" + "11" * 32 + "\n00000002:" + "22" * 32 + "\n"


@pytest.fixture
def keys(tmp_path):
    path = tmp_path / "fleet.keys"
    path.write_text(KEYS_TEXT)
    ring = KeyRing(path)
    ring.load()
    return ring


def test_frame_round_trip(keys):
    """Guards against fields that are lost or reordered by encoding and decoding."""
    entry = DemandEntry("dealers", "draft", "", "runner-1", b"", 3, 40)
    message = Demand("assistant", 1, 0, 0, [entry])
    frame = encode_frame(keys, SENDER, message)
    assert decode_frame(keys, frame) == (SENDER, message)


def test_every_truncation_is_refused(keys):
    """Guards against a truncated frame that is accepted as a message."""
    frame = encode_frame(keys, SENDER, Heartbeat(1, "router", "gasabo"))
    for n_bytes in range(len(frame)):
        with pytest.raises((FrameTruncatedError, BadSignatureError)):
            decode_frame(keys, frame[:n_bytes])


def test_every_flipped_byte_is_refused(keys):
    """Guards against a corrupted frame that is accepted as a message."""
    frame = encode_frame(keys, SENDER, Heartbeat(1, "router", "gasabo"))
    for position in range(len(frame)):
        changed = bytearray(frame)
        changed[position] ^= 1
        with pytest.raises((UnknownKeyError, BadSignatureError)):
            decode_frame(keys, bytes(changed))


def sign(keys, payload):
    return keys.sign(payload) + payload


@pytest.mark.parametrize(
    ("envelope", "failure"),
    [
        ([9, 0, "a", 1, 0, "", [1, "router", "x", False]], UnknownMessageError),
        ([1, 200, "a", 1, 0, "", []], UnknownMessageError),
        ([1, -1, "a", 1, 0, "", []], UnknownMessageError),
        ([1, 0, "a", 1, 0, "", ["x", "router", "x", False]], MalformedMessageError),
        ([1, 0, "a", 1, 0, "", [1]], MalformedMessageError),
        ([1, 0, "a"], MalformedMessageError),
        ("text", MalformedMessageError),
    ],
)
def test_malformed_frames_are_refused(keys, envelope, failure):
    """Guards against correctly signed frames with an unknown or malformed content."""
    with pytest.raises(failure):
        decode_frame(keys, sign(keys, msgspec.msgpack.encode(envelope)))


def test_oversized_control_message_is_refused(keys):
    """Guards against a control message so large that it blocks the event loop."""
    text = "x" * MAX_CONTROL_FRAME_BYTES
    with pytest.raises(FrameTooLargeError):
        encode_frame(keys, SENDER, Heartbeat(1, text, "gasabo"))


def test_frame_from_another_fleet_is_refused(keys, tmp_path):
    """Guards against a sender that reuses a key id without knowing the key."""
    path = tmp_path / "other.keys"
    path.write_text("00000001:" + "33" * 32)
    other = KeyRing(path)
    other.load()
    frame = encode_frame(other, SENDER, Heartbeat(1, "router", "gasabo"))
    with pytest.raises(BadSignatureError):
        decode_frame(keys, frame)


def test_keys_rotate_without_restart(keys):
    """Guards against key rotation that requires all processes to switch at once."""
    old = encode_frame(keys, SENDER, Heartbeat(1, "router", "gasabo"))
    keys.path.write_text("00000003:" + "44" * 32 + "\n" + KEYS_TEXT)
    assert keys.load()
    new = encode_frame(keys, SENDER, Heartbeat(2, "router", "gasabo"))
    assert new[:4] == bytes.fromhex("00000003")
    assert decode_frame(keys, old)[1].sequence == 1
    assert decode_frame(keys, new)[1].sequence == 2


def test_malformed_key_file_keeps_previous_keys(keys):
    """Guards against a partly written key file that leaves a process without keys."""
    keys.path.write_text("00000001:zz")
    with pytest.raises(KeyFileError):
        keys.load()
    frame = encode_frame(keys, SENDER, Heartbeat(1, "router", "gasabo"))
    assert decode_frame(keys, frame)[1].sequence == 1


@pytest.mark.parametrize("text", ["", "abc", "00000001:11", "0001:" + "11" * 32])
def test_malformed_key_files_are_refused(text):
    """Guards against a key file that silently yields no key or a short key."""
    with pytest.raises(KeyFileError):
        parse_keys(text, "fleet.keys")
