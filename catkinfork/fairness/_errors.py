"""Failures of the fair order."""


class FairnessError(Exception):
    """Base of the failures of the fair order."""


class FairOrderError(FairnessError):
    """A place went to a workspace although another had a smaller counter.

    :param workspace: workspace that received the place.
    :param passed: workspace that was passed over.
    :param excess: difference of their counters.
    :param allowed: largest difference that is allowed.
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
    :param bound: largest difference that is allowed.
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
