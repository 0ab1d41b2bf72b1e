# Teams with tight limits over a fleet with room to spare: nothing but limits binds. For sweeps over the number of
# holders (zones and controllers together) and of teams.
cluster {
  zones   = 9
  seconds = 150
}

state {
  rps       = 400
  write_rps = 100
}

type "box" {
  cpus      = 16
  memory_gb = 64
  at_start  = 270
  most      = 270
}

team "t" {
  count      = 12
  guaranteed = 100
  limit      = 200
}

jobs "batch" {
  teams      = ["t"]
  per_minute = 40
  tasks      = [20, 60, 120]
  cpus       = 2
  memory_gb  = 4
  run_s      = 20
}

jobs "one-place" {
  teams      = ["t"]
  per_minute = 12
  tasks      = [16, 40]
  cpus       = 2
  memory_gb  = 4
  run_s      = 20
  one_zone   = true
}
