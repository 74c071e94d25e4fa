"""Settings of the Python interpreter that daemons and benchmarks use."""

# The interpreter's thread switch interval. With the default of 5 ms, a task that has
# received an answer may wait 5 ms for each busy task before it gets the GIL; with
# hundreds of tasks this causes a long tail of latencies.
ADVISED_SWITCH_INTERVAL_S = 0.001
