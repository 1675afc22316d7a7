"""Cost of each role as measured slopes, and the estimates for the target size."""
