"""Linear cost models by role, projected to the target deployment size."""
