# The fleet of Bluebird Text: three limiters before twelve sender boxes in two
# rooms, about 170 requests a second inside the quotas.
# `madderdrum serve deploy/bluebird.hcl --limiter n0` runs one limiter of it;
# `madderdrum replay --fleet deploy/bluebird.hcl` plays traffic against it.

room "room-a" {}
room "room-b" {}

# Shares are used where a trace does not name the class; work is the mean on one
# core of speed 1.
class "status-check" {
  share    = "48%"
  work     = "38ms"
  spread   = 0.9
  aim      = "300ms"
  deadline = "750ms"
  worth    = 2
  late     = "20%"
  units    = 1
  repeat   = "safe"
}

class "send-reminder" {
  share    = "34%"
  work     = "85ms"
  spread   = 1
  aim      = "750ms"
  deadline = "1500ms"
  worth    = 3
  units    = 2
  repeat   = "keyed"
  group    = "pod"
  window   = "1s"
}

class "send-bulk-paid" {
  share    = "18%"
  work     = "125ms"
  spread   = 1
  aim      = "1200ms"
  deadline = "4s"
  worth    = 5
  units    = 4
  repeat   = "unsafe"
}

plan "starter" {
  share        = "20%"
  rate         = "1.4/s"
  burst        = 7
  price        = 0.72
  beyond_earns = "10%"
}

plan "business" {
  share         = "40%"
  rate          = "7/s"
  burst         = 15
  ceiling_rate  = "15/s"
  ceiling_burst = 32
  price         = 1.1
  overrun_cost  = "120%"
}

plan "enterprise" {
  share        = "40%"
  rate         = "28/s"
  burst        = 70
  price        = 1.6
  overrun_cost = "50%"
}

limiter "n0" {
  room   = "room-a"
  listen = "127.0.0.1:8080"
  peer   = "127.0.0.1:7946"
  admin  = "127.0.0.1:9200"
}

limiter "n1" {
  room   = "room-b"
  listen = "127.0.0.1:8081"
  peer   = "127.0.0.1:7947"
  admin  = "127.0.0.1:9201"
}

limiter "n2" {
  room   = "room-a"
  listen = "127.0.0.1:8082"
  peer   = "127.0.0.1:7948"
  admin  = "127.0.0.1:9202"
}

box "a" {
  count        = 6
  room         = "room-a"
  pod          = 0
  dial         = "127.0.0.1:9000"
  cores        = 2
  slots        = 16
  queue        = 40
  thrash       = 0.2
  thrash_at    = 5
  connections  = 1300
  handshake    = "1ms"
  cold_from    = "25%"
  cold_for     = "12s"
  warm_after   = 150
  report_every = "400ms"
  report_delay = "100ms"
  report_noise = "6%"
  error_rate   = "0.02%"
}

box "b" {
  count        = 6
  room         = "room-b"
  pod          = 1
  dial         = "127.0.0.1:9006"
  cores        = 2
  slots        = 16
  queue        = 40
  thrash       = 0.2
  thrash_at    = 5
  connections  = 1300
  handshake    = "1ms"
  cold_from    = "25%"
  cold_for     = "12s"
  warm_after   = 150
  report_every = "400ms"
  report_delay = "100ms"
  report_noise = "6%"
  error_rate   = "0.02%"
}

rules {
  drain_grace   = "500ms"
  fall_factor   = 3
  fall_for      = "1500ms"
  ceiling_slack = "10%"
  attempts      = 3
}

network {
  same_room       = "0.2ms"
  cross_room      = "0.6ms"
  client          = "0.6ms"
  jitter          = "20%"
  connect_timeout = "250ms"
  idle_timeout    = "30s"
  peer_least      = "1.6ms"
  peer_most       = "19ms"
  peer_loss       = "4%"
  peer_in         = "40/s"
  list_least      = "900ms"
  list_most       = "4s"
  silent_notice   = "9s"
  front_notice    = "2s"
}

traffic {
  accounts     = 120
  rate         = "170/s"
  swing        = "10%"
  retries      = 2
  try_share    = "50%"
  backoff      = "60ms"
  heed         = "50%"
  max_advice   = "500ms"
  spread_least = "50%"
  skew         = 1.1
  shift        = "5s"
  heavy        = "10%"
  heavy_times  = 3.5
}
