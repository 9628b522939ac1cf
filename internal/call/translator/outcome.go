package translator

// Outcome says whether a call that got no whole answer was run.
type Outcome uint8

// The outcomes of a call without a whole answer.
const (
	Rejected Outcome = iota // Provably not run.
	Unknown                 // May have run.
	Failed                  // Ran, and its answer says so or was cut off.
)

// String returns the value of the Sardine-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}
