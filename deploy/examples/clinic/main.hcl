# The smallest installation: one limiter before two boxes, no routes.
# madderdrum serve deploy/examples/clinic/main.hcl

room "office" {}

class "reminder" {
  aim      = "750ms"
  deadline = "1500ms"
  worth    = 1
  repeat   = "unsafe"
  share    = "100%"
  work     = "60ms"
}

plan "clinic" {
  rate  = "5/s"
  burst = 20
  share = "100%"
}

limiter "n0" {
  room   = "office"
  listen = "127.0.0.1:8080"
}

box "sender" {
  count = 2
  room  = "office"
  dial  = "127.0.0.1:9000"
  cores = 1
  slots = 8
  queue = 20
}
