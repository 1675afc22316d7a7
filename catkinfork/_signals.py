"""Signals of a process that serves, from its first import to its exit."""

import os
import signal
import sys

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class ProcessSignals:
    """Receives the signals that stop a process or reload its settings.

    The handlers of an event loop exist only while it runs: before and after, a signal
    would end the process by its default action, as if it had crashed.
    """

    def __init__(self):
        self.on_stop = None
        self.on_reload = None
        self.is_reload_due = False
        self.is_installed = False

    def install(self):
        """Set the handlers of the signals; only the main thread may do so.

        Until :meth:`subscribe` is called, a request to stop ends the process.
        """
        self.is_installed = True
        for number in STOP_SIGNALS:
            signal.signal(number, self.handle_stop)
        signal.signal(RELOAD_SIGNAL, self.handle_reload)

    def subscribe(self, on_stop, on_reload):
        """Pass on signals from now on, and a reload that was requested before.

        The functions are called between any two instructions of the main thread.

        :param on_stop: function that is called once at most.
        """
        self.on_stop = on_stop
        self.on_reload = on_reload
        if self.is_reload_due:
            on_reload()

    def ignore(self):
        """Ignore all further signals, also while the interpreter ends.

        Does nothing without handlers, as in a process that only contains a forwarder.
        """
        if not self.is_installed:
            return
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, signal.SIG_IGN)

    def end_process(self):
        """End the process of a forwarder that has stopped, without finalization.

        The interpreter takes longer for that than a busy host has until the forced
        termination, and nothing is left to close. Does nothing without handlers.
        """
        if not self.is_installed:
            return
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(0)

    def handle_stop(self, number, frame):
        """Pass on the first request to stop."""
        self.ignore()
        if self.on_stop is None:
            # An exception could be lost in a finalizer, and there is nothing to close.
            os._exit(0)
        self.on_stop()

    def handle_reload(self, number, frame):
        """Pass on a request to reload the settings, or keep it until it can be."""
        if self.on_reload is None:
            self.is_reload_due = True
        else:
            self.on_reload()


PROCESS_SIGNALS = ProcessSignals()
