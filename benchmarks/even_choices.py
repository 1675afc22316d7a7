"""Choices among engines that the load measurements compare."""


def keep_lowest_cost(node):
    """Keep today's choice, the lowest cost."""


CHOICES = {"lowest cost": keep_lowest_cost}
