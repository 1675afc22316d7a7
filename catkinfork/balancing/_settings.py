"""Settings of the balancer."""

from typing import NamedTuple


class RetryBudgetSettings(NamedTuple):
    """Retry budget over all forwarders.

    :param ratio: retries allowed per request within the window.
    :param n_extra_retries: retries allowed in addition, independent of the requests.
    :param window_s: length of the sliding window, seconds.
    """

    ratio: float = 0.1
    n_extra_retries: float = 10.0
    window_s: float = 10.0


class BalancerSettings(NamedTuple):
    """Settings of admission and placement.

    :param data_centre: data centre of this forwarder.
    :param share_window_s: window over which the service of workspaces is compared,
        seconds.
    :param retry_budget: :class:`RetryBudgetSettings`.
    :param long_pause_cost: cost, in prompt tokens, of a stream that is certain to pause
        for longer than its route allows; 0 to place streams without regard to pauses.
    :param min_transfer_speedup: minimum ratio of the link of an engine to its service
        tokens per second at which it fetches cached prompt tokens; 0 for never.
    :param speed_window_s: window over which the speeds of engines are estimated,
        seconds; 0 if they are not.
    :param on_time_first: whether jobs that can still be on time go before late ones.
    :param spread_choice: 1 to allow for placements of peers that are not yet known, 0
        to take the lowest cost.
    """

    data_centre: str
    share_window_s: float = 4.0
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    long_pause_cost: float = 0.0
    min_transfer_speedup: float = 0.0
    speed_window_s: float = 0.0
    on_time_first: bool = False
    spread_choice: int = 0
