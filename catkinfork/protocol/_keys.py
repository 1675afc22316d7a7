"""Fleet keys: which processes belong to the fleet."""

import hmac
import re
from pathlib import Path
from typing import NamedTuple

from catkinfork.protocol._errors import KeyFileError

KEY_ID_BYTES = 4
SIGNATURE_BYTES = 32
MIN_KEY_BYTES = 16

_LINE = re.compile(r"^([0-9a-f]{8}):([0-9a-f]+)$")


class FleetKey(NamedTuple):
    """One key of the fleet.

    :param key_id: 4 bytes that name the key on the wire.
    :param secret: at least 16 bytes.
    """

    key_id: bytes
    secret: bytes


def parse_keys(text, source):
    """Parse a key file.

    :param text: content, one ``id:hex`` a line; empty lines and ``#`` lines are
        skipped.
    :param source: path named in errors.
    :returns: list of :class:`FleetKey`, the signing key first.
    :raises KeyFileError: if a line is malformed, a key is short or there is none.
    """
    keys = []
    for n_line, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        match = _LINE.match(stripped)
        if match is None or len(match[2]) % 2:
            raise KeyFileError(source, f"line {n_line} is not 8 hex digits:hex key")
        secret = bytes.fromhex(match[2])
        if len(secret) < MIN_KEY_BYTES:
            detail = f"line {n_line} has {len(secret)} bytes, expected >= 16"
            raise KeyFileError(source, detail)
        keys.append(FleetKey(bytes.fromhex(match[1]), secret))
    if not keys:
        raise KeyFileError(source, "no key in the file")
    return keys


class KeyRing:
    """Fleet keys from a file that may change while the process runs.

    :param path: key file.
    """

    def __init__(self, path):
        self.path = Path(path)
        self.keys = []
        self.modified = None

    def load(self):
        """Read the file if it has changed.

        :returns: whether the keys were read again.
        :raises KeyFileError: if the file cannot be read or is malformed; the keys
            read before stay in use.
        """
        try:
            stat = self.path.stat()
            modified = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if modified == self.modified:
                return False
            text = self.path.read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError) as error:
            raise KeyFileError(str(self.path), f"cannot be read: {error}") from error
        self.keys = parse_keys(text, str(self.path))
        self.modified = modified
        return True

    def sign(self, body):
        """Return the key id and the signature of ``body`` by the first key.

        :param body: bytes to sign.
        :returns: 4 bytes of key id followed by 32 bytes of HMAC-SHA256.
        """
        key = self.keys[0]
        return key.key_id + hmac.digest(key.secret, body, "sha256")

    def find(self, key_id):
        """Return the key with this id, or None."""
        return next((key for key in self.keys if key.key_id == key_id), None)
