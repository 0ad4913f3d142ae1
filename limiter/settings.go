package limiter

import (
	"errors"
	"fmt"
)

// checkSettings returns an error that names the first invalid setting, if there is one.
func checkSettings(s Settings) error {
	switch {
	case s.Balancers < 1:
		return errors.New("balancers must be at least 1")
	case s.Position < 0 || s.Position >= s.Balancers:
		return fmt.Errorf("position %d is not among %d balancers", s.Position, s.Balancers)
	case len(s.Classes) == 0:
		return errors.New("request_classes is empty")
	case len(s.Plans) == 0:
		return errors.New("packages is empty")
	case s.Rules.ColdShare < 0 || s.Rules.ColdShare > 1:
		return fmt.Errorf("cold_share %g is not a share", s.Rules.ColdShare)
	}
	for i, c := range s.Classes {
		if c.AimMs <= 0 || c.DeadlineMs <= 0 {
			return fmt.Errorf("request_classes.%d: promise_ms and deadline_ms must be above 0", i)
		}
	}
	for i, p := range s.Plans {
		if p.Rate < 0 || p.Burst < 0 || p.AtOnce < 0 || p.CeilingRate < 0 || p.CeilingBurst < 0 {
			return fmt.Errorf("packages.%d: a quota is below 0", i)
		}
		if p.Rate > 0 && p.Burst <= 0 {
			return fmt.Errorf("packages.%d: burst must be above 0 where per_second is", i)
		}
	}
	return nil
}
