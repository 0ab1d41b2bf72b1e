# An agent alone: `tidebend agent --config deploy/agent.hcl`.

# The control service, as `tidebend up` says it.
control = "127.0.0.1:7070"

# The same keys as the control service's. Only their owner may read the file.
key_file = "/var/lib/tidebend/keys.json"

# The agent's own directory: what it has begun, and what its tasks write.
data = "/var/lib/tidebend-agent"

# A machine type of the control service's settings.
kind = "local"

# Shown in lists; empty: this machine's name.
label = ""

# Where it takes orders; port 0: any free one. Beyond loopback only with TLS.
listen = "127.0.0.1:0"

# It ends itself after so many leases without a word from the control service; 0: never.
alone_leases = 0

# For a control service elsewhere; the certificate is for the address above.
# tls {
#   authority = "/var/lib/tidebend-agent/tls/authority.pem"
#   certificate = "/var/lib/tidebend-agent/tls/garage.pem"
#   key = "/var/lib/tidebend-agent/tls/garage.key"
# }
