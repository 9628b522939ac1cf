// Package translator declares how calls, answers and outcomes are put into
// headers and status codes, and has the product's own form of them.
package translator
