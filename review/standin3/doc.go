// Command standin3 plays the cases of the third review.
//
// One process is the platform's store, the workers, the operator and the clients of a small
// deployment. It starts the daemons of the project as processes of their own, by the command of
// deploy/system.toml, on loopback addresses.
//
// # Usage
//
//	standin3 CASE RECORD
//
// CASE names one of the cases in the cases table, RECORD is the file that gets a line for each thing
// that was sent, answered and run. With TROUBLE=0 in the environment the disruption is left out. The
// exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
