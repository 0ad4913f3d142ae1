# What may wait: one try less, and no long bodies.
policy "patient" {
  class    = "bulk"
  deadline = "3s"
  attempts = 2
  max_body = "16KiB"
}

route "bulk" {
  path   = "/api/bulk/"
  pool   = "bulk"
  policy = "patient"
}

# A shop's sale runs through the till programs' host.
route "sale" {
  host   = "tills.bluebird.example"
  path   = "/api/"
  pool   = "bulk"
  policy = "patient"
  plans  = ["starter"]
}
