# A small sound deployment that the broken files include.
room "room-a" {}

class "status" {
  aim      = "300ms"
  deadline = "750ms"
  worth    = 2
  repeat   = "safe"
  share    = "60%"
  work     = "38ms"
}

class "reminder" {
  aim      = "750ms"
  deadline = "1500ms"
  worth    = 3
  repeat   = "keyed"
  window   = "1s"
  units    = 2
  share    = "40%"
  work     = "85ms"
}

plan "starter" {
  rate  = "2/s"
  burst = 7
  share = "50%"
}

plan "business" {
  rate          = "7/s"
  burst         = 15
  ceiling_rate  = "15/s"
  ceiling_burst = 32
  share         = "50%"
}

limiter "n0" {
  room   = "room-a"
  listen = "127.0.0.1:8080"
  peer   = "127.0.0.1:7946"
}

limiter "n1" {
  room   = "room-a"
  listen = "127.0.0.1:8081"
  peer   = "127.0.0.1:7947"
}

box "a" {
  count = 4
  room  = "room-a"
  dial  = "127.0.0.1:9000"
  cores = 2
  slots = 16
  queue = 40
}
