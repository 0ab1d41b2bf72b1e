"""What users ask of a controller over HTTP."""
