# The Friday rule: a shop's bulk sale waits until the clinics' reminders clear.
#
#   madderdrum plugin build examples/plugins/friday -o deploy/examples/plugins/friday.wasm
#   go run ./examples/plugins/byhand > deploy/examples/plugins/byhand.wasm
#   madderdrum check deploy/bluebird.hcl deploy/examples/plugins/plugins.hcl
#   madderdrum serve deploy/bluebird.hcl deploy/examples/plugins/plugins.hcl -l n0 --status 127.0.0.1:9190

plugin "friday" {
  file         = "friday.wasm"
  order        = 1
  may          = ["refuse", "lower", "raise", "label"]
  longest_wait = "500ms"
  lower        = "10%"
  raise        = 4
}

plugin "byhand" {
  file  = "byhand.wasm"
  order = 2
  may   = ["refuse"]
}

pool "boxes" {
  members = ["a*", "b*"]
}

# Status checks go by without them.
route "status" {
  pool    = "boxes"
  path    = "/v1/status"
  plugins = []
}

route "send" {
  pool    = "boxes"
  plugins = ["friday", "byhand"]
}
