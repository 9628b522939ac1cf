// Package tracker records the load, latency and health of the backend servers of
// one pool: calls in flight, expected latency, failure ratio, ejection, drain,
// concurrency limit and load reports. An instance keeps one Pool for each pool
// whose slots it grants. The package reads no clock; each method takes the
// current time.
//
// Terms of this package, most of which are also on the wire or in the audit trail:
//
//   - slots: the number of calls that a backend server can run at the same time.
//   - limit: the current concurrency limit of a server, from 1 to its slots. A
//     refusal lowers it; successful calls raise it.
//   - busy (ReportedCalls in Go): the number of calls that run or wait on a
//     server by its own report.
//   - external calls: the calls that run or wait on a server by its own report
//     beyond those that this pool granted.
//   - pace (Slowdown in Go): the time that work takes on a server now, divided
//     by its usual time.
//   - drain: the server has asked for no new calls.
//   - leaving: the platform's list announces that the server will go away.
//   - refused: the server rejected a call by the documented refusal, a response
//     that states that the server did not run the call.
//   - ejected: the server gets no calls after too many failures, until the trial
//     delay has passed; one trial call then decides whether it returns.
//   - cold: the server was added to a running pool or has returned from an
//     ejection. Its limit starts at 1 and rises faster than that of other
//     servers.
//   - cold start (IsCold): the time after a start, by the statement of the server, in
//     which it works more slowly and must get few calls.
package tracker
