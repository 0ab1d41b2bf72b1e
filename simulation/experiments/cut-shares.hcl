# Teams with tight limits whose shares lie in a zone that is cut off, while their work waits where there is room.
cluster {
  zones   = 3
  seconds = 200
}

state {
  rps       = 250
  write_rps = 60
}

type "box" {
  cpus      = 8
  memory_gb = 32
  at_start  = 240
  most      = 300
}

team "t" {
  count      = 6
  guaranteed = 100
  limit      = 300
}

jobs "batch" {
  teams      = ["t"]
  at_start   = 12
  per_minute = 24
  tasks      = [20, 60, 120]
  cpus       = 4
  memory_gb  = 8
  run_s      = 25
}

trouble "zone" {
  at      = 40
  what    = "zone"
  zone    = 1
  seconds = 80
  hold    = true
}
