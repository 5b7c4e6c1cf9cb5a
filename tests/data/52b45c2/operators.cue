// every value given, none at its default
files: {
    on: true, out: "/srv/out", answers: "/srv/answers", state: "/srv/state", keys: "keys.toml", life: 25000
    whole_every: 7, under_way: 3, poll: 250
    pace: {cap: 4, span: 8000, least: 40}
    silent: {silence: 2500, life: 21000, keep: 9000, after: "refuse"}
}
relay: {on: true, name: "relay-1", upstream: "registry-0:8500,registry-1:8500", plan: "plan.json"}
