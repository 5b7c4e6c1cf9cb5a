// What this installation adds to the plain planner. All of it is off on the platform: it gives no lasting disk, and
// its forwarders read no files. `stackwheel config schema` says all that can be set, with bounds and defaults.

files: on: false
