// Package sender sends a call to a backend server over HTTP/1.1 and, when the
// call gets no complete response, reports whether the backend server can have
// run it.
//
// Each connection is an http.ClientConn that carries one exchange (a request
// and its response) at a time. The connection pool of http.Transport is not
// used because it resends a call on its own when a reused connection breaks. A
// connection is reused only when its last exchange is complete and no byte has
// arrived after the response.
//
// A backend server may write a refusal again, late, where the response to a later
// call is due. Its ID tells it apart, so after a refusal without one the
// connection is closed, and a call is never sent again on a connection on which it
// was refused: an ID names a call and not one exchange of it.
//
// A call that may be resent (Attempt.AllowResend) is sent a second time, to the
// same backend server on a new connection, when a reused connection is silent:
// no byte of a response arrives within several times the usual latency of the
// service. Closing the silent connection cancels the first run, so both sends
// use a single slot of the backend server.
//
// A Failure has an outcome and a reason, which are reported to the caller:
//
//	rejected  the backend server did not run the call
//	unknown   the backend server may have run the call
//	failed    the backend server ran the call, which failed
//
//	withheld  nothing was sent because the backend server must get no calls
//	connect   no connection could be opened
//	write     no byte of the request was written
//	read      the call was written, and no complete response header arrived, or too many 1xx responses
//	protocol  the backend server switched protocols
//	refused   the backend server states that it did not run the call
//	unproven  the response is a refusal or a success without the required proof, or a refusal without an ID
//	foreign   the response belongs to another call
//	moved     another backend server has the address
//	deadline  the deadline passed
//	gone      the caller cancelled the call
package sender
