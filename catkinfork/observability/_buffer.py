"""Log output that never blocks and stays bounded."""

import os
import sys

import logbook

# Lines written in one second; further ones are counted and left out.
MAX_LINES_PER_S = 400
# Bytes kept while the reader of the log does not read.
MAX_HELD_BYTES = 1 << 20


class BufferedHandler(logbook.Handler):
    """Collects lines and writes them together, without blocking.

    :param file_number: open file to write to.
    :param level: lowest level that is written.
    """

    def __init__(self, file_number, level):
        super().__init__(level=level, bubble=False)
        self.file_number = file_number
        self.lines = []
        self.held = b""
        self.n_lines = 0
        self.n_dropped = 0
        os.set_blocking(file_number, False)

    def emit(self, record):
        """Keep the line of a record for the next flush."""
        if self.n_lines >= MAX_LINES_PER_S:
            self.n_dropped += 1
            return
        self.n_lines += 1
        self.lines.append(record.message)

    def start_second(self):
        """Begin a new second.

        :returns: the lines left out within the last one.
        """
        n_dropped, self.n_dropped = self.n_dropped, 0
        self.n_lines = 0
        return n_dropped

    def flush(self):
        """Write what is kept, as far as the reader takes it."""
        if self.lines:
            text = "\n".join(self.lines) + "\n"
            self.lines = []
            if len(self.held) < MAX_HELD_BYTES:
                self.held += text.encode()
            else:
                self.n_dropped += text.count("\n")
        if not self.held:
            return
        try:
            n_written = os.write(self.file_number, self.held)
        except BlockingIOError:
            return
        self.held = self.held[n_written:]


def build_stdout_handler(level):
    """Return a handler that writes to standard output."""
    return BufferedHandler(sys.stdout.fileno(), level)
