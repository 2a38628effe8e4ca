// Package bthub adds up the loads of a failure domain's daemons at one of them.
//
// If every daemon sent each change of its load to all others, the messages of a
// fleet would grow with the square of its daemons. Instead, each daemon reports its
// load to the hubs of its failure domain, which are two of its daemons. A Hub adds
// the reports up and returns the total to the daemons that subscribe to it, with
// the number of the subscriber's newest report that the total includes. A Client
// subtracts exactly that report, so that a daemon counts its own requests by its
// own, newer figures.
//
// No permission is granted: a total only describes the load. A total is used only if
// it includes a recent report of the subscriber. A hub that was suspended or cut off
// therefore cannot hand out totals from before, whatever its own clock shows.
//
// The package has no network and no clock. Hub and Client are safe for concurrent
// use.
//
// # Usage
//
//	number := client.Record(own, now)           // at each daemon, sent as a report
//	hub.Add(bthub.Report{Host: h, Number: number, Loads: own, Subscribe: true}, now)
//	total, subscribers := hub.Total(now), hub.Subscribers(now)
//	others, ok := client.Others(hubHost, total, subscribers[0].Ack, now)
package bthub
