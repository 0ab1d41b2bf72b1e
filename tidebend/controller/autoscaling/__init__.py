"""The autoscaler: provisions machines at the cloud and releases them."""
