plan "starter" {
  rate  = "90/m"
  burst = 8
  share = "40%"
}

plan "business" {
  rate          = "7/s"
  burst         = 15
  ceiling_rate  = "15/s"
  ceiling_burst = 32
  price         = 1.2
  share         = "60%"
}
