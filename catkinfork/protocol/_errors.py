"""Exceptions of the internal protocol."""


class ProtocolError(Exception):
    """Base class of the exceptions of the internal protocol.

    :param peer: address or name of the peer, empty if unknown.
    :param detail: what was received and what was expected.
    """

    reason = "protocol"

    def __init__(self, peer: str, detail: str):
        super().__init__(peer, detail)
        self.peer = peer
        self.detail = detail

    def __str__(self):
        return f"{self.detail} (peer {self.peer or 'unknown'})"


class FrameTruncatedError(ProtocolError):
    """The frame ends before its header or body is complete."""

    reason = "truncated"


class FrameTooLargeError(ProtocolError):
    """The frame exceeds the size limit of its message type."""

    reason = "too_large"


class UnknownKeyError(ProtocolError):
    """The frame is signed with a fleet key that is not in the key file."""

    reason = "unknown_key"


class BadSignatureError(ProtocolError):
    """The signature of the frame is invalid."""

    reason = "bad_signature"


class UnknownMessageError(ProtocolError):
    """The message type or the protocol version is not supported."""

    reason = "unknown_message"


class MalformedMessageError(ProtocolError):
    """The fields of the frame do not match the message type."""

    reason = "malformed"


class KeyFileError(ProtocolError):
    """The key file cannot be read or has a line that is not ``id:hex``."""

    reason = "key_file"

    def __str__(self):
        return f"key file {self.peer}: {self.detail}"
