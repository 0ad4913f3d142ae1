# The layout of friday.csv, the built-in trace: requests, and failures and slowdowns
# of boxes.
trace "friday" {
  columns = ["ms", "what", "account", "class", "plan", "units", "work_us", "box", "slow"]
  time {
    column = "ms"
    unit   = "ms"
  }
  account = "account"
  class { column = "class" }
  plan { column = "plan" }
  units     = "units"
  work      = "work_us"
  work_unit = "us"
  event "down" {
    column = "what"
    equals = ["down"]
    box    = "box"
  }
  event "up" {
    column = "what"
    equals = ["up"]
    box    = "box"
  }
  event "slow" {
    column = "what"
    equals = ["slow"]
    box    = "box"
    factor = "slow"
  }
}
