// Package scenarist holds the scenarios of the load and failure tests: each
// starts a deployment, sends calls through its instances, causes failures and
// compares the measured figures with the targets of the requirements.
//
// Runner runs one scenario by name, as a Trial. ListScenarios prints the
// question that each scenario answers.
//
// # Checks
//
// A trial passes when it made at least one check and none failed. Checks of
// correctness decide in every run, however slow the machine is. Targets, such as
// latencies and shares of served calls, decide only in a full run; the short
// form (Runner.Short) prints them as not judged.
//
// # Streams
//
// Reports name the calls by their stream:
//
//   - lookup: idempotent reads of rank urgent. flood: more of them, at several
//     times the capacity of the service.
//   - book: non-idempotent calls of rank normal. bare, issued and made are such
//     calls too: bare carries no idempotency key, issued one that an instance
//     issued and made a UUIDv7 that the caller generated.
//   - bulk: non-idempotent calls of rank patient.
//
// # Outcomes
//
// A call is reported not run when an instance rejected it and no backend server ran
// it, and unknown when it may have run. It is cut off when
// the caller got no answer.
package scenarist
