// Package btstream splits event streams into whole events.
//
// An upstream may stop in the middle of an event. A Reader returns only events
// whose closing empty line has arrived, byte for byte, so that another upstream
// can continue the stream after the last whole event.
//
// # Usage
//
//	r := btstream.NewReader(response.Body, account)
//	for {
//		e, err := r.Next()
//		...
//	}
package btstream
