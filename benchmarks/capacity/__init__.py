"""Cost of each role as slopes, and what they give at the target size."""
