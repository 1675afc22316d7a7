"""Frames of the internal protocol: signature, envelope and message.

A frame is ``key id (4) | HMAC-SHA256 (32) | envelope``; the envelope is a msgpack array
whose last element is the message, also a msgpack array.
"""

import hmac
from typing import NamedTuple

import msgspec

from catkinfork.protocol._control_messages import (
    DocumentReply,
    Sender,
)
from catkinfork.protocol._errors import (
    BadSignatureError,
    FrameTooLargeError,
    FrameTruncatedError,
    MalformedMessageError,
    UnknownKeyError,
    UnknownMessageError,
)
from catkinfork.protocol._execution_messages import (
    ResponsePart,
    Start,
)
from catkinfork.protocol._keys import KEY_ID_BYTES, SIGNATURE_BYTES
from catkinfork.protocol._messages import (
    MESSAGE_TYPES,
)

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_CONTROL_FRAME_BYTES = 64 * 1024
HEADER_BYTES = KEY_ID_BYTES + SIGNATURE_BYTES
LARGE_MESSAGE_TYPES = (Start, ResponsePart, DocumentReply)


class Envelope(NamedTuple):
    """Fields of every frame, around the encoded message.

    :param protocol: protocol version.
    :param kind: position of the message type in ``MESSAGE_TYPES``.
    :param sender: internal address of the sender.
    :param incarnation: incarnation of the sender.
    :param version: version of the document in force at the sender, 0 if none.
    :param digest: digest of that document, empty if none.
    :param body: the encoded message.
    """

    protocol: int
    kind: int
    sender: str
    incarnation: int
    version: int
    digest: str
    body: msgspec.Raw


_KINDS = {message_type: kind for kind, message_type in enumerate(MESSAGE_TYPES)}
_DECODERS = [msgspec.msgpack.Decoder(message_type) for message_type in MESSAGE_TYPES]
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def encode_frame(keys, sender, message):
    """Encode and sign a message.

    :param keys: :class:`KeyRing` of the fleet.
    :param sender: :class:`Sender` of this process.
    :param message: one of ``MESSAGE_TYPES``.
    :returns: bytes of the frame.
    :raises FrameTooLargeError: if the frame exceeds the limit of its message type.
    """
    body = msgspec.Raw(_ENCODER.encode(message))
    kind = _KINDS[type(message)]
    envelope = Envelope(PROTOCOL_VERSION, kind, *sender, body)
    payload = _ENCODER.encode(envelope)
    check_frame_size(sender.name, len(payload) + HEADER_BYTES, kind)
    return keys.sign(payload) + payload


def decode_frame(keys, frame):
    """Verify and decode a frame.

    :param keys: :class:`KeyRing` of the fleet.
    :param frame: bytes as received.
    :returns: pair of :class:`Sender` and message.
    :raises FrameTruncatedError: if the frame has nothing after its header.
    :raises UnknownKeyError: if no key of the ring has the frame's key id.
    :raises BadSignatureError: if the signature does not match.
    :raises UnknownMessageError: if protocol version or message type is unknown.
    :raises FrameTooLargeError: if the frame exceeds the limit of its message type.
    :raises MalformedMessageError: if the fields do not match the type.
    """
    if len(frame) <= HEADER_BYTES:
        detail = f"frame of {len(frame)} bytes, expected > {HEADER_BYTES}"
        raise FrameTruncatedError("", detail)
    payload = check_signature(keys, frame)
    try:
        envelope = _ENVELOPE_DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise MalformedMessageError("", f"envelope: {error}") from error
    if envelope.protocol != PROTOCOL_VERSION:
        detail = f"protocol version {envelope.protocol}, expected {PROTOCOL_VERSION}"
        raise UnknownMessageError(envelope.sender, detail)
    if not 0 <= envelope.kind < len(MESSAGE_TYPES):
        detail = f"message type {envelope.kind}, expected 0 to {len(MESSAGE_TYPES) - 1}"
        raise UnknownMessageError(envelope.sender, detail)
    check_frame_size(envelope.sender, len(frame), envelope.kind)
    try:
        message = _DECODERS[envelope.kind].decode(envelope.body)
    except msgspec.DecodeError as error:
        name = MESSAGE_TYPES[envelope.kind].__name__
        raise MalformedMessageError(envelope.sender, f"{name}: {error}") from error
    return Sender(*envelope[2:6]), message


def check_signature(keys, frame):
    """Return the payload of a frame after verifying its signature.

    :raises UnknownKeyError: if no key of the ring has the frame's key id.
    :raises BadSignatureError: if the signature does not match.
    """
    key_id = frame[:KEY_ID_BYTES]
    key = keys.find(key_id)
    if key is None:
        raise UnknownKeyError("", f"key id {key_id.hex()} is not in the key file")
    payload = frame[HEADER_BYTES:]
    signature = frame[KEY_ID_BYTES:HEADER_BYTES]
    if not hmac.compare_digest(signature, hmac.digest(key.secret, payload, "sha256")):
        raise BadSignatureError("", f"signature by key {key_id.hex()} does not match")
    return payload


def check_frame_size(peer, n_bytes, kind):
    """Check the size of a frame against the limit of its message type.

    :raises FrameTooLargeError: if the frame is too large.
    """
    message_type = MESSAGE_TYPES[kind]
    is_large = message_type in LARGE_MESSAGE_TYPES
    max_bytes = MAX_FRAME_BYTES if is_large else MAX_CONTROL_FRAME_BYTES
    if n_bytes > max_bytes:
        detail = (
            f"{message_type.__name__} frame of {n_bytes} bytes, expected <= {max_bytes}"
        )
        raise FrameTooLargeError(peer, detail)
