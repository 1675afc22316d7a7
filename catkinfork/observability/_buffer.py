"""Non-blocking log output with limits on rate and memory."""

import os
import sys
from select import PIPE_BUF

import logbook

# Further lines within the same second are dropped and counted. Warnings and errors
# count by themselves: a flooded forwarder fills the limit with lines of requests, and
# what explains these would be lost.
MAX_LINES_PER_S = 400
# New lines are dropped and counted while the log's reader leaves this much unread.
MAX_BUFFER_BYTES = 1 << 20


class BufferedHandler(logbook.Handler):
    """Buffers log lines and writes them in batches without blocking.

    :param file_descriptor: descriptor to write to; it is set to non-blocking mode.
    :param level: minimum level of the records that are written.
    """

    def __init__(self, file_descriptor, level):
        super().__init__(level=level, bubble=False)
        self.file_descriptor = file_descriptor
        self.lines = []
        self.buffer = b""
        self.n_lines = 0
        self.n_warnings = 0
        self.n_dropped = 0
        os.set_blocking(file_descriptor, False)

    def emit(self, record):
        """Queue the line of a record for the next flush."""
        is_warning = record.level >= logbook.WARNING
        if (self.n_warnings if is_warning else self.n_lines) >= MAX_LINES_PER_S:
            self.n_dropped += 1
            return
        self.n_warnings += is_warning
        self.n_lines += not is_warning
        self.lines.append(record.message)

    def start_second(self):
        """Reset the rate limit at the start of a second.

        :returns: number of lines dropped since the last call.
        """
        n_dropped, self.n_dropped = self.n_dropped, 0
        self.n_lines = self.n_warnings = 0
        return n_dropped

    def flush(self):
        """Write as much of the buffered output as the descriptor accepts."""
        if self.lines:
            text = "\n".join(self.lines) + "\n"
            self.lines = []
            if len(self.buffer) < MAX_BUFFER_BYTES:
                self.buffer += text.encode()
            else:
                self.n_dropped += text.count("\n")
        while self.buffer:
            block = take_lines(self.buffer, PIPE_BUF)
            try:
                n_written = os.write(self.file_descriptor, block)
            except BlockingIOError:
                return
            self.buffer = self.buffer[n_written:]


def take_lines(buffer, max_bytes):
    """Return the leading whole lines of a buffer.

    A pipe takes a write of up to ``PIPE_BUF`` bytes whole or not at all, so that no
    line is cut off in its middle.

    :param max_bytes: maximum size of the lines together; a longer line is returned
        alone.
    """
    if len(buffer) <= max_bytes:
        return buffer
    end = buffer.rfind(b"\n", 0, max_bytes) + 1
    return buffer[: end or buffer.index(b"\n") + 1]


def build_stdout_handler(level):
    """Return a handler that writes to standard output."""
    return BufferedHandler(sys.stdout.fileno(), level)
