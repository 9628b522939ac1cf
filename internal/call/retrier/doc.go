// Package retrier decides whether a call to a service is retried or hedged, and
// limits the number of these extra attempts.
//
// An attempt fails with one of two outcomes. A rejected attempt did not run on
// the backend server; any call is retried after it, on another backend server.
// An unknown attempt may have run; only an idempotent call is retried after it.
//
// An idempotent call without a body is also hedged: when the first attempt has
// no answer after the 95th percentile of recent latencies, a second attempt
// starts. The first answer is used and the other attempt is cancelled. The
// hedge of a call that is not urgent starts after 1 s at the earliest.
//
// With a Limit, a call is hedged only if Limit.Hedge is set. The hedge then
// starts when the first attempt has outlasted what its route takes (RouteWork),
// and only while it can still answer before the target of the call.
//
// Two limits hold at the same time. Each service has token buckets that are
// refilled by its calls, so that extra attempts stay a fixed share of its calls.
// And each extra attempt spends one unit of the call's Sardine-Budget, the
// header that carries the number of extra attempts left for a call and all calls
// below it. A chain of n levels that all fail therefore makes at most n(n+3)/2
// attempts with a budget of 1, instead of 2^n: S(n,0) = n and
// S(n,1) = S(n-1,1) + S(n-1,0) + 2, where S(n,b) is the number of attempts with
// a budget of b.
package retrier
