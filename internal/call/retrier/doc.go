// Package retrier decides when a call is sent again and bounds how often.
//
// A rejected attempt, which did not run, is retried on another backend server
// for any call. An unknown attempt is retried for an idempotent call only. An
// idempotent call without a body is also hedged: a second attempt starts when
// the first has no answer after the 95th percentile of recent latencies, and
// the attempt that answers last is cancelled.
//
// Two bounds hold at once. Each service has buckets of tokens that fill with
// its calls, so extra attempts stay a fixed share of its calls. And each extra
// attempt spends one of the call's Sardine-Budget, so a chain of n levels that
// all fail sends n(n+3)/2 times with a budget of 1, not 2^n times: S(n,0) = n and
// S(n,1) = S(n-1,1) + S(n-1,0) + 2.
package retrier
