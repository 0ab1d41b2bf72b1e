# Settings of an agent that runs alone: `tidebend agent --config deploy/agent.hcl`.

# The address of the control service, as `tidebend up` prints it.
control = "127.0.0.1:7070"

# A file with the control service's keys. Only its owner may read it.
key_file = "/var/lib/tidebend/keys.json"

# The agent's data directory: its record of started tasks, and the tasks' output.
data = "/var/lib/tidebend-agent"

# The machine type, one of those in the control service's settings.
kind = "local"

# Shown in lists; if empty, the machine's host name.
label = ""

# Where it listens for commands; port 0 means any free port. Addresses beyond loopback need TLS.
listen = "127.0.0.1:0"

# The agent exits after this many lease durations without contact to the control service; 0 means never.
alone_leases = 0

# For a control service on another machine; the certificate must be valid for the address in `listen`.
# tls {
#   authority = "/var/lib/tidebend-agent/tls/authority.pem"
#   certificate = "/var/lib/tidebend-agent/tls/garage.pem"
#   key = "/var/lib/tidebend-agent/tls/garage.key"
# }
