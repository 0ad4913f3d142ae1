# Two rooms, three limiters, and bulk sales kept to boxes of their own, so that they
# never stand before the clinics' reminders. Plans and routes have files of their own.
# madderdrum check deploy/examples/pools/main.hcl
# madderdrum serve deploy/examples/pools/main.hcl --limiter n0

include "plans.hcl" {}
include "routes/*.hcl" {}

variable "host" {
  default = "127.0.0.1"
}

room "north" {}
room "south" {}

class "status" {
  aim      = "300ms"
  deadline = "750ms"
  worth    = 2
  repeat   = "safe"
  share    = "50%"
  work     = "38ms"
}

class "reminder" {
  aim      = "750ms"
  deadline = "1500ms"
  worth    = 4
  units    = 2
  repeat   = "keyed"
  group    = "pod"
  window   = "1s"
  share    = "30%"
  work     = "85ms"
}

class "bulk" {
  aim      = "1200ms"
  deadline = "4s"
  worth    = 3
  units    = 4
  repeat   = "unsafe"
  share    = "20%"
  work     = "125ms"
}

limiter "n0" {
  room   = "north"
  listen = "${var.host}:8080"
  peer   = "${var.host}:7946"
}

limiter "n1" {
  room   = "south"
  listen = "${var.host}:8081"
  peer   = "${var.host}:7947"
}

limiter "n2" {
  room   = "north"
  listen = "${var.host}:8082"
  peer   = "${var.host}:7948"
}

# A second address of n0, for the till programs alone.
listener "tills" {
  limiter = "n0"
  address = "${var.host}:8090"
}

box "north" {
  count     = 6
  room      = "north"
  pod       = 0
  dial      = "${var.host}:9000"
  cold_from = "25%"
  cold_for  = "12s"
  cores     = 2
  slots     = 16
  queue     = 40
}

box "south" {
  count     = 6
  room      = "south"
  pod       = 1
  dial      = "${var.host}:9006"
  cold_from = "25%"
  cold_for  = "12s"
  cores     = 2
  slots     = 16
  queue     = 40
}

pool "paid" {
  members = ["north*", "south0", "south1", "south2", "south3"]

  # Each limiter prefers the boxes of its own room. While some of them can be used, no
  # more than a third of its requests crosses; when the room is lost, all do.
  tier "near" {
    rank     = 1
    own_room = "yes"
    spill    = "33%"
  }
}

pool "bulk" {
  members = ["south4", "south5"]
}
