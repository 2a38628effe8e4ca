// Package btservice simulates a plain service that runs beside the engines.
//
// The service executes each call that it gets, whatever the method and path,
// and answers with what it saw and how often it has executed the call's
// idempotency key, or its request id if it has none. It does not recognize
// repeated calls: a call that must run once has to be sent once. A body that
// contains [[crash]] crashes the service after the call was counted.
//
// A cold service is slow and dies when it executes more calls at a time than
// its cold limit.
//
// # Usage
//
//	service := btservice.NewServer(btservice.Options{Instance: "orders"}, timers)
//	defer service.Close()
//	http.Serve(listener, service.Handler())
package btservice
