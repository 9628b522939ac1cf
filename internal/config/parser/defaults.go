package parser

import "time"

// Defaults of keys that a service file leaves out.
const (
	DefaultConnections = 250
	DefaultDeadline    = 10 * time.Second
	DefaultNormal      = 0.10
	DefaultPatient     = 0.05
	DefaultCalls       = 64
	DefaultBytes       = 64 << 20
	DefaultPath        = "/load"
	DefaultBudget      = 10 * time.Millisecond
	DefaultCost        = time.Millisecond
	DefaultTotal       = 100 * time.Millisecond
	DefaultAttempts    = 2
)

const (
	// MaxAttempts is the largest number of attempts of a rule, the deepest
	// chain of calls.
	MaxAttempts = 32
	// maxWeight keeps sums of weights far from overflow.
	maxWeight = 1 << 20
)

// Defaults of keys that the settings of an instance leave out.
const (
	DefaultRegion = "home"
	DefaultNotice = 5 * time.Second
	DefaultLevel  = "info"
)

// spacing is one second, in which the probe budget is counted, and twice the
// clock error of 100 ms, because the clocks of two instances may err in
// opposite directions.
const spacing = time.Second + 2*100*time.Millisecond

// WithDefaults returns a copy of s in which every key has a value.
func (s Service) WithDefaults() Service {
	preset(&s.Connections, DefaultConnections)
	preset(&s.Deadline, Duration(DefaultDeadline))
	preset(&s.Floors.Normal, DefaultNormal)
	preset(&s.Floors.Patient, DefaultPatient)
	preset(&s.Queue.Calls, DefaultCalls)
	preset(&s.Queue.Bytes, DefaultBytes)
	s.Probe = s.Probe.WithDefaults()
	routes := make([]Route, len(s.Routes))
	for i, r := range s.Routes {
		preset(&r.Deadline, s.Deadline)
		routes[i] = r
	}
	s.Routes = routes
	return s
}

// WithDefaults returns a copy of r in which every key has a value.
func (r Rule) WithDefaults() Rule {
	preset(&r.Deadline, Duration(DefaultDeadline))
	preset(&r.Target, r.Deadline)
	preset(&r.Attempts, DefaultAttempts)
	return r
}

// WithDefaults returns a copy of p in which every key has a value.
func (p Probe) WithDefaults() Probe {
	preset(&p.Path, DefaultPath)
	preset(&p.Budget, Duration(DefaultBudget))
	preset(&p.Cost, Duration(DefaultCost))
	preset(&p.Total, Duration(DefaultTotal))
	preset(&p.Period, p.MinPeriod())
	return p
}

// MinPeriod returns the shortest time slot in which two instances, each with
// its own list, stay within the budget: 1.2 s x max(1, 2 x cost / budget).
// Budget and Cost must be set.
func (p Probe) MinPeriod() Duration {
	ratio := 2 * float64(p.Cost) / float64(p.Budget)
	return Duration(float64(spacing) * max(1, ratio))
}

// WithDefaults returns a copy of s in which every key that has a default has a value.
func (s Settings) WithDefaults() Settings {
	preset(&s.Region, DefaultRegion)
	preset(&s.Notice, Duration(DefaultNotice))
	preset(&s.Level, DefaultLevel)
	return s
}

func preset[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
