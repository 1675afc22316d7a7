"""Chance of a forwarder to take room that its peers see as well."""

from math import inf

# Bounds of the time between two draws for the room at a backend server, seconds.
MIN_DRAW_INTERVAL_S = 0.02
MAX_DRAW_INTERVAL_S = 0.25


class RoomDraw:
    """Draws of one forwarder for the room at one backend server.

    Load pattern: room becomes free at an engine while jobs wait at many forwarders. All
    see it at once, and would fill it several times before they learn of each other.

    A forwarder with peers ahead of it takes room with the probability that some is left
    for it. It draws again only after its peers had time to tell what they took.
    """

    __slots__ = ("next_draw_at",)

    def __init__(self):
        self.next_draw_at = -inf

    def may_take(self, room, n_peers_ahead, state_age_s, rng, now):
        """Return whether a job may take room now.

        :param room: number of jobs like it for which there is room.
        :param n_peers_ahead: peers with a queued job of higher priority.
        :param state_age_s: age of the state of the peers, seconds.
        :param rng: ``random.Random``.
        :param now: monotonic time, seconds.
        """
        if room < 1:
            return False
        n_contenders = n_peers_ahead + 1
        if room >= n_contenders:
            return True
        if now < self.next_draw_at:
            return False
        if rng.random() * n_contenders < room:
            return True
        interval_s = max(MIN_DRAW_INTERVAL_S, state_age_s)
        self.next_draw_at = now + min(MAX_DRAW_INTERVAL_S, interval_s)
        return False


class RoomQuota:
    """Jobs that one forwarder may place while peers have jobs of higher priority.

    Load pattern: jobs wait at all forwarders while a third of the engines idle. With a
    draw for each engine, a job that lost it waits for that engine, and room at the
    others stays unused.

    Within the time in which peers tell what they took, a forwarder places its even part
    of the jobs for which all backend servers together have room.
    """

    __slots__ = ("n_left", "next_at")

    def __init__(self):
        self.n_left = 0
        self.next_at = -inf

    def may_take(self, compute_total_room, n_peers_ahead, state_age_s, rng, now):
        """Return whether a job may take room now, and count it.

        :param compute_total_room: callable that returns the number of jobs like it for
            which the backend servers have room together.
        :param n_peers_ahead: peers with a queued job of higher priority.
        :param state_age_s: age of the state of the peers, seconds.
        :param rng: ``random.Random``.
        :param now: monotonic time, seconds.
        """
        if not n_peers_ahead:
            return True
        if now >= self.next_at:
            share = compute_total_room() / (n_peers_ahead + 1)
            self.n_left = int(share + rng.random())
            interval_s = max(MIN_DRAW_INTERVAL_S, state_age_s)
            self.next_at = now + min(MAX_DRAW_INTERVAL_S, interval_s)
        if not self.n_left:
            return False
        self.n_left -= 1
        return True
