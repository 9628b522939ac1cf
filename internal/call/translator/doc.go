// Package translator converts the parameters of calls and the outcomes of calls
// to and from HTTP headers and status codes.
//
// A Dialect is one such mapping. Native, the dialect of this product, uses headers
// with the prefix Sardine-:
//
//	Sardine-Rank      urgency of the call: urgent, normal or patient
//	Sardine-Deadline  time until the deadline, in milliseconds
//	Sardine-Depth     number of calls above this one in the chain of calls
//	Sardine-Budget    extra attempts (retries and hedges) left for the call and all calls below it
//	Sardine-Attempt   number of the attempt, from 1
//	Sardine-Id        idempotency key; Idempotency-Key is read without it
//	Sardine-Load      calls that run on the backend server, then "/" and further text
//	Sardine-Drain     "1" when the backend server asks for no new calls
//	Sardine-Leaving   "1" when the process of the backend server gets no calls any more
//	Sardine-Refused   "1" when the backend server did not run the call (status 503)
//	Sardine-Outcome   rejected, unknown or failed, to the caller
//	Sardine-Reason    reason of the outcome in one word, to the caller
//	Sardine-Instance  name of the instance that answered the caller
package translator
