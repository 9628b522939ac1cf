// Package worker is a stand-in for a backend server in tests and trials. It runs
// as many calls at a time as it has slots, for a given service time, rejects calls
// above that, reports its load, signals that it drains, and counts how often each
// call ran.
//
// Callers of a trial control it with the Trial-* request headers, which the
// instances pass through. Its rejection of a call, which says that the call did not
// run, is status 503 with the header Sardine-Refused. Sardine-Load reports calls and
// slots as "calls/slots", Sardine-Drain tells that it takes no more calls, and
// Retry-After that it wants none from this instance for some time.
package worker
