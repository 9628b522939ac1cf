package translator

// Outcome states whether a call without a complete response was run.
type Outcome uint8

// The outcomes of a call without a complete response.
const (
	Rejected Outcome = iota // Proved not to have run.
	Unknown                 // May have run.
	Failed                  // Ran, and the response reports a failure or broke off.
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
