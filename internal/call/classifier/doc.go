// Package classifier is the first filter of a call: it finds the service and
// the route and reads rank, deadline, depth, attempt, budget and identity.
package classifier
