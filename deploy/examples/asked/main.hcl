# The fleet of deploy/bluebird.hcl, written short, where n0 also answers proxies that
# ask. Keys and secrets stand in files of their own.
# madderdrum serve deploy/examples/asked/main.hcl --limiter n0

include "fleet.hcl" {}

forward_auth "n0" {
  listen    = "127.0.0.1:8090"
  keys_file = "/etc/madderdrum/token-keys"

  proxy "booking" {
    dialect     = "traefik"
    mode        = "ask-then-carry"
    from        = ["127.0.0.1", "10.0.0.0/8"]
    secret_file = "/etc/madderdrum/booking-secrets"
    lease       = "2s"

    route "/reminders/" {
      class = "reminder"
      plan  = "clinic"
    }
  }
}
