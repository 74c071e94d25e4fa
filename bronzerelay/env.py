"""Facts about the environment that the code runs in."""

# The interpreter hands the processor on after this time. Its default of 5 ms lets a
# task that waits for an answer stand behind each busy one for 5 ms; with hundreds of
# tasks that shows as a long tail.
ADVISED_SWITCH_INTERVAL_S = 0.001
