"""Settings of the balancer."""

from typing import NamedTuple


class RepeatSettings(NamedTuple):
    """Bound on repeats over all forwarders.

    :param ratio: repeats allowed for each request within the window.
    :param n_slack: repeats allowed besides.
    :param window_s: length of the window in seconds.
    """

    ratio: float = 0.1
    n_slack: int = 10
    window_s: float = 10.0


class BalancerSettings(NamedTuple):
    """Settings of the decisions.

    :param data_centre: data centre of this forwarder.
    :param share_window_s: time over which the service of workspaces is compared.
    :param repeats: :class:`RepeatSettings`.
    """

    data_centre: str
    share_window_s: float = 4.0
    repeats: RepeatSettings = RepeatSettings()
