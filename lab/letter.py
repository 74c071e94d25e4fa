"""The scale to design for, and the budgets, from the users' letter of requirements."""

DAEMONS = 3_100
GROUPS = 23_000
CONNECTIONS = 30_000_000
STATEMENTS_PER_S = 16_000_000
PRIMARY_CHANGES_PER_DAY = 48
PRIMARY_CHANGE_MS = 17_000
VERSIONS_PER_DAY = 9_900
VERSION_MS = 13_000
FAILURE_DOMAINS = 21
REGIONS = 10
VM_FAILURES_PER_DAY = 94
RESTARTS_PER_DAY = 3_100
DAY_S = 86_400

# Budgets of control for each daemon: 1.2% of a core, 128 MB, and 5 KB a second.
CONTROL_CPU_MS = 12.0
CONTROL_MEMORY_MB = 128.0
CONTROL_BYTES = 5_000.0

PLATFORM_READS_PER_S = 2_000.0
PLATFORM_WRITES_PER_S = 300.0
PLATFORM_VALUE_MB = 1.048576

# Not from the letter: today both users have 3 instances per group, and 8 workspaces for
# every 3 groups.
INSTANCES = 3
WORKSPACES = GROUPS * 8 // 3
HOLDERS = 16
