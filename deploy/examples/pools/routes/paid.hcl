# All that nothing more exact takes.
route "paid" {
  path = "/api/"
  pool = "paid"
}

route "status" {
  path    = "/api/status/"
  methods = ["GET"]
  pool    = "paid"
  class   = "status"
}
