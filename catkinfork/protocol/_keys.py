"""Fleet keys, with which processes of a fleet authenticate their frames."""

import hmac
import re
from pathlib import Path
from typing import NamedTuple

from catkinfork.protocol._errors import KeyFileError

KEY_ID_BYTES = 4
SIGNATURE_BYTES = 32
MIN_KEY_BYTES = 16

_KEY_LINE = re.compile(r"^([0-9a-f]{8}):([0-9a-f]+)$")


class FleetKey(NamedTuple):
    """Shared secret of the fleet.

    :param key_id: 4 bytes that identify the key in a frame.
    :param secret: at least 16 bytes.
    """

    key_id: bytes
    secret: bytes


def parse_keys(text, source):
    """Parse a key file.

    :param text: content, one ``id:hex`` per line; empty lines and lines that begin with
        ``#`` are skipped.
    :param source: path of the file, for errors.
    :returns: list of :class:`FleetKey`, the signing key first.
    :raises KeyFileError: if a line is malformed, a key is too short or there is no key.
    """
    keys = []
    for line_number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        match = _KEY_LINE.match(stripped)
        if match is None or len(match[2]) % 2:
            raise KeyFileError(
                source, f"line {line_number} is malformed, expected id:hex"
            )
        secret = bytes.fromhex(match[2])
        if len(secret) < MIN_KEY_BYTES:
            detail = (
                f"line {line_number} has a key of {len(secret)} bytes, expected >= 16"
            )
            raise KeyFileError(source, detail)
        keys.append(FleetKey(bytes.fromhex(match[1]), secret))
    if not keys:
        raise KeyFileError(source, "the file contains no key")
    return keys


class KeyRing:
    """Fleet keys from a file, which may be replaced while the process runs.

    :param path: key file.
    """

    def __init__(self, path):
        self.path = Path(path)
        self.keys = []
        self.file_state = None

    def load(self):
        """Read the file if it has changed since the last call.

        :returns: whether the file was read.
        :raises KeyFileError: if the file cannot be read or is malformed; the previous
            keys stay in use.
        """
        try:
            status = self.path.stat()
            file_state = (status.st_mtime_ns, status.st_size, status.st_ino)
            if file_state == self.file_state:
                return False
            text = self.path.read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError) as error:
            raise KeyFileError(str(self.path), f"cannot be read: {error}") from error
        self.keys = parse_keys(text, str(self.path))
        self.file_state = file_state
        return True

    def sign(self, body):
        """Return the key id and the signature of ``body``, using the first key.

        :param body: bytes to sign.
        :returns: 4 bytes of key id followed by 32 bytes of HMAC-SHA256.
        """
        key = self.keys[0]
        return key.key_id + hmac.digest(key.secret, body, "sha256")

    def find(self, key_id):
        """Return the key with an id, or None."""
        return next((key for key in self.keys if key.key_id == key_id), None)
