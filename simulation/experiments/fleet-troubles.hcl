# The greedy team's day with failures: a zone cut off, a controller that stands still while its block goes to another, an
# outage in the middle, half of the state's changes, a crash of all, and machines that die.
cluster {
  zones   = 3
  seconds = 300
}

state {
  rps       = 250
  write_rps = 60
}

type "box" {
  cpus      = 8
  memory_gb = 32
  at_start  = 300
  most      = 600
  spot      = 0.4
}

team "greedy" {
  guaranteed = 200
  limit      = 4000
}

team "small" {
  count      = 5
  guaranteed = 250
  limit      = 300
}

jobs "feeds" {
  teams      = ["small"]
  kind       = "service"
  priority   = "production"
  at_start   = 20
  per_minute = 2
  tasks      = [3, 5]
  cpus       = 4
  memory_gb  = 13
  spread     = true
  spot       = false
}

jobs "small-batch" {
  teams      = ["small"]
  per_minute = 8
  tasks      = [20, 60, 120]
  cpus       = 4
  memory_gb  = 11
  run_s      = 30
  deadline_s = 150
}

jobs "flood" {
  teams      = ["greedy"]
  per_minute = 14
  tasks      = [40, 160, 250]
  cpus       = 4
  memory_gb  = 11
  run_s      = 30
  deadline_s = 200
}

trouble "zone" {
  at      = 60
  what    = "zone"
  zone    = 1
  seconds = 70
  hold    = true
}

trouble "frozen" {
  at      = 150
  what    = "freeze"
  node    = 0
  seconds = 9
}

trouble "outage" {
  at      = 153
  what    = "outage"
  seconds = 6
}

trouble "machines" {
  at    = 170
  what  = "machines"
  zone  = 2
  share = 0.3
}

trouble "writes" {
  at      = 185
  what    = "limits"
  share   = 0.2
  seconds = 30
}

trouble "crash" {
  at      = 230
  what    = "crash"
  node    = -1
  seconds = 4
}
