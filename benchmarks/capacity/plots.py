"""Plots of the measured points, the fitted line and the target size."""


def draw_plots(probes, directory):
    """Write an SVG for each probe with a panel for each measure.

    :param probes: results by probe name.
    :param directory: :class:`Path` to write to.
    """
    # Imported here, since the plotting library is an optional dependency.
    import matplotlib

    matplotlib.use("svg")
    # A fixed salt and no date keep the files reproducible.
    matplotlib.rcParams["svg.hashsalt"] = "catkinfork"
    from matplotlib import pyplot

    directory.mkdir(parents=True, exist_ok=True)
    for name, probe in probes.items():
        measures = list(probe["fits"])
        n_rows = (len(measures) + 2) // 3
        n_columns = min(3, len(measures))
        figure, axes = pyplot.subplots(
            n_rows, n_columns, figsize=(4 * n_columns, 3 * n_rows), squeeze=False
        )
        panels = list(axes.flat)
        for panel, measure in zip(panels, measures, strict=False):
            draw_panel(panel, probe, measure)
        for panel in panels[len(measures) :]:
            panel.set_axis_off()
        figure.suptitle(f"{name}: {probe['quantity']}", fontsize=10)
        figure.tight_layout()
        figure.savefig(directory / f"{name}.svg", metadata={"Date": None})
        pyplot.close(figure)


def draw_panel(panel, probe, measure):
    """Draw points, fit and target of one measure."""
    points = [
        (point["size"], point["values"][measure])
        for point in probe["points"]
        if measure in point["values"]
    ]
    fit = probe["fits"][measure]
    ends = [0, max(probe["target"], max(size for size, _ in points))]
    line = [fit["intercept"] + fit["slope"] * size for size in ends]
    panel.plot(*zip(*points, strict=True), "o", markersize=3, label="measured")
    panel.plot(ends, line, linewidth=1, label=f"fit, R² {fit['r2']:.3f}")
    panel.axvline(
        probe["target"], linestyle=":", linewidth=1, color="grey", label="target"
    )
    panel.set_xlabel(probe["quantity"], fontsize=7)
    panel.set_ylabel(f"{measure}, {probe['units'][measure]}", fontsize=7)
    panel.tick_params(labelsize=6)
    panel.legend(fontsize=6)
