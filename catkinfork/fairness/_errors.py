"""Violations of fairness."""


class FairnessError(Exception):
    """Base class of the fairness violations."""


class FairOrderError(FairnessError):
    """A workspace received a grant although another had a smaller counter.

    :param workspace: workspace that received the grant.
    :param passed: workspace that was passed over.
    :param excess: difference of their counters.
    :param allowed: largest allowed difference.
    """

    def __init__(self, workspace, passed, excess, allowed):
        super().__init__(workspace, passed, excess, allowed)
        self.workspace = workspace
        self.passed = passed
        self.excess = excess
        self.allowed = allowed

    def __str__(self):
        return (
            f"grant to {self.workspace} passed over {self.passed} "
            f"by {self.excess:.1f}, allowed <= {self.allowed:.1f}"
        )


class FairnessBoundError(FairnessError):
    """The counters of two backlogged workspaces differ by more than the bound.

    :param ahead: workspace with the larger counter.
    :param behind: workspace with the smaller counter.
    :param gap: difference of their counters.
    :param bound: largest allowed difference.
    """

    def __init__(self, ahead, behind, gap, bound):
        super().__init__(ahead, behind, gap, bound)
        self.ahead = ahead
        self.behind = behind
        self.gap = gap
        self.bound = bound

    def __str__(self):
        return (
            f"counter of {self.ahead} is {self.gap:.1f} above that of {self.behind}, "
            f"bound {self.bound:.1f}"
        )
