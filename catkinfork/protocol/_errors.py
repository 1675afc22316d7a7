"""Failures of the inner protocol."""


class ProtocolError(Exception):
    """Base of the failures of the inner protocol.

    :param peer: address or name of the other side, empty if unknown.
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
    """The frame is larger than its kind allows."""

    reason = "too_large"


class UnknownKeyError(ProtocolError):
    """The frame names a fleet key that is not in the key file."""

    reason = "unknown_key"


class BadSignatureError(ProtocolError):
    """The signature does not match the frame."""

    reason = "bad_signature"


class UnknownMessageError(ProtocolError):
    """The message kind or the protocol version is not known here."""

    reason = "unknown_message"


class MalformedMessageError(ProtocolError):
    """The fields do not match the message type."""

    reason = "malformed"


class KeyFileError(ProtocolError):
    """The key file cannot be read or has a line that is not ``id:hex``."""

    reason = "key_file"

    def __str__(self):
        return f"key file {self.peer}: {self.detail}"
