# Who may ask the limiter n0 of deploy/bluebird.hcl whether a request may go:
# madderdrum serve deploy/bluebird.hcl --limiter n0 --forward-auth deploy/forwardauth.hcl
# The platform gives no further listeners, so that this is for other installations.

forward_auth "n0" {
  listen    = "127.0.0.1:8090"
  keys_file = "/etc/madderdrum/token-keys" # "id secret" a line; the first signs
  leases    = 100000                       # out at once
  pending   = 256                          # asks that wait

  # tls {
  #   cert_file      = "/etc/madderdrum/n0.crt"
  #   key_file       = "/etc/madderdrum/n0.key"
  #   client_ca_file = "/etc/madderdrum/proxies-ca.crt"
  # }

  # A clinic's booking system behind nginx, whose messages never come here.
  proxy "booking" {
    dialect     = "nginx" # or traefik caddy envoy haproxy
    mode        = "asked-only"
    from        = ["127.0.0.1"]
    secret_file = "/etc/madderdrum/booking-secrets" # one a line, any is believed
    wait        = "700ms"                           # a client's time, where it does not say

    # What a request is, where its headers don't say.
    route "/reminders/" {
      class = "send-reminder"
      plan  = "starter"
      units = 2
    }
    route "/" {
      class = "status-check"
      plan  = "starter"
    }
  }

  # Another, behind Caddy: what is granted is sent through a limiter within 2 s.
  proxy "clinics" {
    dialect     = "caddy"
    mode        = "ask-then-carry"
    from        = ["127.0.0.1"]
    secret_file = "/etc/madderdrum/clinics-secrets"
    lease       = "2s"
  }
}
