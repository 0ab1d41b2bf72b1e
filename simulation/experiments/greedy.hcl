# One greedy team with most of the arrivals and five small ones with tight limits, on a fleet whose machines have room
# for about as much as is guaranteed: nothing fails.
cluster {
  zones   = 3
  seconds = 240
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
  per_minute = 20
  tasks      = [40, 160, 250]
  cpus       = 4
  memory_gb  = 11
  run_s      = 30
  deadline_s = 200
}

jobs "gangs" {
  teams        = ["small", "greedy"]
  kind         = "gang"
  per_minute   = 3
  tasks        = [1, 4]
  cpus         = 8
  memory_gb    = 20
  run_s        = 60
  one_zone     = true
  checkpoint_s = 15
  save_s       = 4
}
