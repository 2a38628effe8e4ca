// Command standin2 runs the cases of the second review that are scripts. It starts the daemons as
// separate processes, and in its own process stand-ins for the platform's store, the workers and
// the clients.
//
// # Usage
//
//	standin2 CASE PROGRAM DIR
//
// CASE names the case, PROGRAM is the daemon's program, and DIR gets record.txt. The exit status is
// 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main
