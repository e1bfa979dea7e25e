# Operators' settings that enable stepwise drains. To use them, start every controller with
# target/lemonmoor --config FILE --operator deploy/drains.hcl. `run` in service.toml does not
# use this file: without it drains are disabled and cost nothing.

drains {
  # Maximum number of machines of a drain that are emptied at a time.
  machines_at_once = 8

  # How long a drain waits for tasks that are about to end, in seconds.
  wait_s = 120

  # File to which the steps are traced, as JSON lines of OpenTelemetry spans. Without it there
  # is no trace.
  # trace_file = "/tmp/lemonmoor-drains.json"

  # Limits of how much of a team's work may be disturbed at once, including work disturbed by
  # causes other than drains.
  default {
    tasks       = 8
    cpus        = 128
    share       = 0.2
    replicas_up = 1
  }

  # Limits that a team's own block leaves out are those of the default:
  #
  # team "labteam-00" {
  #   tasks = 2
  # }
}
