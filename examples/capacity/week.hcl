# Which column of the record is what: one row a request, seconds since Monday 00:00.
trace "week" {
  columns = ["time"]
  time {
    column = "time"
    unit   = "s"
  }
}
