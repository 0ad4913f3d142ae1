package metrics

import "example.org/madderdrum/control/catalog"

// Instances returns a gauge with the number of instances of servers and limiters, by service and state.
func Instances(name string, counts []catalog.ServiceCount) Metric {
	f := Metric{Name: name, Help: "Lives of servers and limiters that are known here, by service and state.", Kind: Gauge}
	for _, count := range counts {
		for state, n := range count.States {
			f.Samples = append(f.Samples, Sample{Value: float64(n),
				Labels: []Label{{"service", count.Service}, {"state", catalog.State(state).String()}}})
		}
	}
	return f
}
