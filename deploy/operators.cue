// What this installation adds to the plain planner. All of it is off on the platform: it gives no lasting disk, and
// its forwarders read no files. `stackwheel config schema` says all that can be set, with bounds and defaults.

files: on: false

// A relay serves each cell of planners its part of the list (docs/relay.md): `stackwheel relay --operators FILE`, with
//     relay: {on: true, name: "relay-0", upstream: "registry.internal:8500", plan: "cells.json"}
relay: on: false
