package tracker

import "time"

// Settings are the parameters of a pool. A zero field means its default.
type Settings struct {
	Slots             int           // Calls that one backend server can run at the same time; 0 means 1.
	LatencyHalfLife   time.Duration // Age at which the expected latency has moved half way to the median; 0 means 2s.
	FailureWindow     time.Duration // Time over which the failure ratio is measured; 0 means 10s.
	TrialDelay        time.Duration // Time from the first ejection to the trial call; 0 means 1s.
	MaxTrialDelay     time.Duration // Longest time from an ejection to the trial call; 0 means 60s.
	ColdSuccesses     int           // Successes that raise the limit of a cold server by 1; 0 means 3.
	RecoverySuccesses int           // Successes in a row that raise a lowered limit by 1; 0 means 20.
}

const (
	defaultLatencyHalfLife   = 2 * time.Second
	defaultFailureWindow     = 10 * time.Second
	defaultTrialDelay        = time.Second
	defaultMaxTrialDelay     = time.Minute
	defaultColdSuccesses     = 3
	defaultRecoverySuccesses = 20

	// defaultLatency is the median of a pool in which no latency is known.
	defaultLatency = 10 * time.Millisecond
	// minResults is the number of results in the failure window that an ejection needs.
	minResults = 5
	// maxFailureRatio is the failure ratio above which a server is ejected.
	maxFailureRatio = 0.5
	// latencyWeight is the weight of a new latency in the EWMA. After one result of
	// a server that became 5 times slower, the average is 2.2 times the old one.
	latencyWeight = 0.3
	// reportHalfLife is the age at which the weight of a load report is one half.
	reportHalfLife = 200 * time.Millisecond
	// maxMedianAge is the age up to which the median is cached, because computing it sorts the latencies.
	maxMedianAge = 20 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	s.Slots = max(s.Slots, 1)
	setDefault(&s.LatencyHalfLife, defaultLatencyHalfLife)
	setDefault(&s.FailureWindow, defaultFailureWindow)
	setDefault(&s.TrialDelay, defaultTrialDelay)
	setDefault(&s.MaxTrialDelay, defaultMaxTrialDelay)
	setDefault(&s.ColdSuccesses, defaultColdSuccesses)
	setDefault(&s.RecoverySuccesses, defaultRecoverySuccesses)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
