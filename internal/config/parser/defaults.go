package parser

import "time"

// Defaults of the keys of services and rules.
const (
	DefaultConnections  = 250
	DefaultDeadline     = 10 * time.Second
	DefaultNormalFloor  = 0.10
	DefaultPatientFloor = 0.05
	DefaultQueueCalls   = 64
	DefaultQueueBytes   = 64 << 20
	DefaultProbePath    = "/load"
	DefaultProbeBudget  = 10 * time.Millisecond
	DefaultProbeCost    = time.Millisecond
	DefaultProbeTotal   = 100 * time.Millisecond
	DefaultAttempts     = 2
)

const (
	// MaxAttempts is the largest number of attempts of a rule. It equals the
	// longest chain of calls that is accepted.
	MaxAttempts = 32
	// MaxPartWeight is the largest weight of a part.
	MaxPartWeight = 1 << 20
)

// Defaults of the keys of instance settings.
const (
	DefaultRegion = "home"
	DefaultNotice = 5 * time.Second
	DefaultLevel  = "info"
)

// minProbePeriod is the shortest time between two probes of a backend server: one
// second, for which the probe budget is given, plus twice the largest clock error
// of 100 ms, because the clocks of two instances may deviate in opposite
// directions.
const minProbePeriod = time.Second + 2*100*time.Millisecond

// setDefaults gives every key of the services and rules of b a value.
func (b *Bundle) setDefaults() {
	for i := range b.Services {
		b.Services[i] = b.Services[i].WithDefaults()
	}
	for i := range b.Rules {
		b.Rules[i] = b.Rules[i].WithDefaults()
	}
}

// WithDefaults returns a copy of s in which every key has a value.
func (s Service) WithDefaults() Service {
	setDefault(&s.Connections, DefaultConnections)
	setDefault(&s.Deadline, Duration(DefaultDeadline))
	setDefault(&s.Floors.Normal, DefaultNormalFloor)
	setDefault(&s.Floors.Patient, DefaultPatientFloor)
	setDefault(&s.Queue.Calls, DefaultQueueCalls)
	setDefault(&s.Queue.Bytes, DefaultQueueBytes)
	s.Probe = s.Probe.WithDefaults()
	routes := make([]Route, len(s.Routes))
	for i, r := range s.Routes {
		setDefault(&r.Deadline, s.Deadline)
		routes[i] = r
	}
	s.Routes = routes
	return s
}

// WithDefaults returns a copy of r in which every key has a value.
func (r Rule) WithDefaults() Rule {
	setDefault(&r.Deadline, Duration(DefaultDeadline))
	setDefault(&r.Target, r.Deadline)
	setDefault(&r.Attempts, DefaultAttempts)
	return r
}

// WithDefaults returns a copy of p in which every key has a value.
func (p Probe) WithDefaults() Probe {
	setDefault(&p.Path, DefaultProbePath)
	setDefault(&p.Budget, Duration(DefaultProbeBudget))
	setDefault(&p.Cost, Duration(DefaultProbeCost))
	setDefault(&p.Total, Duration(DefaultProbeTotal))
	setDefault(&p.Period, p.MinPeriod())
	return p
}

// MinPeriod returns the shortest probe period that keeps the probes of a backend
// server within its budget: 1.2 s x max(1, 2 x cost / budget). The factor 2 allows
// for two instances that read different lists of instances and both probe the
// backend server in the same period. Budget and Cost must be set.
func (p Probe) MinPeriod() Duration {
	ratio := 2 * float64(p.Cost) / float64(p.Budget)
	return Duration(float64(minProbePeriod) * max(1, ratio))
}

// WithDefaults returns a copy of s in which every key that has a default has a value.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Region, DefaultRegion)
	setDefault(&s.Notice, Duration(DefaultNotice))
	setDefault(&s.Level, DefaultLevel)
	return s
}

// setDefault sets a zero field to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
