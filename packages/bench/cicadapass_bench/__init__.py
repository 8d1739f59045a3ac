"""Run the demo, the measurements and the fault matrix."""
