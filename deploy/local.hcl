# Settings of the control service: `tidebend up --config deploy/local.hcl`, or `tidebend control`.
# Every setting is listed with its default. Machine types have none; at least one is required.

# Where the control service listens for users and agents. Port 0 means any free port at the first start, and the same port
# afterwards. Addresses beyond loopback need TLS, see the end of this file.
listen = "127.0.0.1:0"

# Address for Prometheus metrics, at /metrics; requests need a key, as everywhere. Empty means no metrics.
metrics_listen = ""

# The name of the zone that all machines are in.
zone = "here"

# Seconds for which an idle machine beyond the number of `agents` is kept before its agent is killed.
keep_idle_s = 900000

# An agent started by the control service exits after this many lease durations without contact to it; 0 means never.
agents_alone_leases = 40

# Maximum number of open connections, from 64 to 20000: two for each agent leave room for users. Each is an open file, so
# `ulimit -n` should be about 1,000 higher. Each connection has its own thread up to about 1,100 connections; beyond that,
# only while it handles a request. At most a quarter of the connections, or of the threads if that is less, may be of
# clients that haven't authenticated yet.
connections = 1000

# Times between agents and the control service, in seconds.
times {
  # interval of an agent's reports; it also reports at once when something changes
  report_s = 1
  # an agent that gets no answer for this long ends all its tasks: the control service may be down for nearly this long
  # without any loss of work
  lease_s = 15
  # how long a started task of a gang waits for the gang's other tasks
  gang_wait_s = 30
  # time within which a gang's tasks notice that one of them is gone
  gang_peer_s = 5
  # time within which all tasks of a cancelled job have ended; at least 1.5 lease_s + 2 report_s
  cancel_s = 40
}

# Limits of the embedded key-value store.
state {
  requests_per_s = 4000
  changes_per_s = 2000
  # maximum size of a value, and maximum number of changes in a transaction
  value_kb = 32
  changes_a_transaction = 64
  # address of the store's own interface, for tools that inspect the state; empty means none
  listen = ""
}

# A machine type: the resources that an agent of this type offers to tasks. `agents` of them always run on this machine, and
# up to `most` when there is work. An agent elsewhere names its type, see deploy/agent.hcl.
machine "local" {
  cpus = 2
  memory_gb = 4
  gpus = 0
  agents = 3
  most = 3
  # only compared with the prices of other types
  price = 1
}

# A team's quota: `cpus` and `gpus` are its guarantee, `cpus_max` and `gpus_max` its limit; a limit of 0 means none.
team "everyone" {
  cpus = 0
  gpus = 0
  cpus_max = 0
  gpus_max = 0
}

# For agents elsewhere. `tidebend certs make --host ADDRESS` creates these files in the data directory; an agent needs the
# authority's certificate, a certificate of its own issued by it (--name), and the key file.
# tls {
#   authority = "/var/lib/tidebend/tls/authority.pem"
#   certificate = "/var/lib/tidebend/tls/server.pem"
#   key = "/var/lib/tidebend/tls/server.key"
# }
