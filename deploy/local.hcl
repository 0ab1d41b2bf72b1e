# The control service on machines of your own: `tidebend up --config deploy/local.hcl`, or `tidebend control` alone.
# Every setting is here with its default, but for machine types, of which there must be at least one.

# Where it listens, for users, agents and their orders. Port 0: any free one at the first start, the same ever after.
# Beyond loopback nothing listens without TLS, see the end of this file.
listen = "127.0.0.1:0"

# Prometheus metrics, under /metrics, with a key like everything else; empty: none.
metrics_listen = ""

# The name of this place; all its machines are in it.
zone = "here"

# How long an idle machine above the number of `agents` is kept before its agent is ended.
keep_idle_s = 900000

# An agent that was started here ends itself after so many leases without a word from the control service; 0: never.
agents_alone_leases = 40

# Connections at a time, from 64 to 20000: two for each agent leave room for users. Each is an open file, so have `ulimit -n`
# some 1,000 above it. Each has a thread of its own while there are fewer than some 1,100, later only for its requests. A
# quarter of them, or of the threads if that is less, may be of people who haven't shown a key yet.
connections = 1000

# What holds between agents and the control service, in seconds.
times {
  # an agent reports this often, and at once when something changes
  report_s = 1
  # an agent that isn't answered for so long ends all its tasks: the control service may be away for nearly this long
  # without costing anything
  lease_s = 15
  # a gang's task that has started waits so long for its mates
  gang_wait_s = 30
  # a gang's tasks notice within this time that one of them is gone
  gang_peer_s = 5
  # after a cancellation all tasks are gone within this time; at least 1.5 lease_s and 2 report_s
  cancel_s = 40
}

# What the embedded state service takes.
state {
  requests_per_s = 4000
  changes_per_s = 2000
  # the longest value, and how many changes one transaction may hold
  value_kb = 32
  changes_a_transaction = 64
  # its own interface, for tools that want to look at the state; empty: none
  listen = ""
}

# A type of machine: what one agent of it may give to its tasks. `agents` of them are always kept on this machine, and up
# to `most` are started when there is work. An agent elsewhere names the type that it is, see deploy/agent.hcl.
machine "local" {
  cpus = 2
  memory_gb = 4
  gpus = 0
  agents = 3
  most = 3
  # only compared with other types' prices
  price = 1
}

# Who may use how much. `cpus` and `gpus` are guaranteed, `cpus_max` and `gpus_max` the most at a time; 0: no limit.
team "everyone" {
  cpus = 0
  gpus = 0
  cpus_max = 0
  gpus_max = 0
}

# For agents elsewhere. `tidebend certs make --host ADDRESS` makes these files in its data directory; agents need the
# authority, a certificate of their own from it (--name), and the file of keys.
# tls {
#   authority = "/var/lib/tidebend/tls/authority.pem"
#   certificate = "/var/lib/tidebend/tls/server.pem"
#   key = "/var/lib/tidebend/tls/server.key"
# }
