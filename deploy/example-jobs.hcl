# An array, a service, a gang and two dependent jobs: `tidebend submit deploy/example-jobs.hcl`.

job "numbers" {
  command = ["sh", "-c", "echo task $TIDEBEND_TASK of $TIDEBEND_TASKS"]
  tasks   = 20
  cpus    = 0.5
}

job "web" {
  command = ["sleep", "86400"]
  kind    = "service" # its tasks are restarted until it is cancelled
  tasks   = 3
  cpus    = 0.2
}

job "together" {
  command  = ["sh", "-c", "sleep 2"]
  kind     = "gang" # all tasks run at the same time, or none does
  tasks    = 4
  cpus     = 0.5
  priority = "high"
}

job "fetch" {
  command = ["sh", "-c", "echo fetched"]
}

job "build" {
  command     = ["sh", "-c", "echo built for $WHOM"]
  environment = { WHOM = "market day" }
  after       = ["fetch"]
  deadline_s  = 600

  limits {
    memory_gb = 1
  }
}
