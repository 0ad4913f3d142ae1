# The columns of the log of the gateway.
trace "gateway-log" {
  columns = ["ms", "what", "shop", "kind", "plan", "parts", "cost", "box", "slow"]
  time {
    column = "ms"
    unit   = "ms"
  }
  account = "shop"
  class {
    column = "kind"
    names  = { status = "status-check", remind = "send-reminder", bulk = "send-bulk-paid" }
  }
  plan { column = "plan" }
  units = "parts"
  work  = "cost"
  event "down" {
    column = "what"
    equals = ["crash", "halt"]
    box    = "box"
  }
  event "up" {
    column = "what"
    equals = ["start"]
    box    = "box"
  }
  event "slow" {
    column = "what"
    equals = ["slow"]
    box    = "box"
    factor = "slow"
  }
}
