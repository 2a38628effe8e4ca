// Command standin runs the cases of the review that are scripts. Each case starts the
// daemons of the deploy file as separate processes and stands in for the platform's
// store, the workers and the clients. Workers that are killed are processes of their own.
//
// A case writes what was sent, answered and run to a record and ends all processes that
// it started. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 it does the same without the disruption.
//
// # Usage
//
//	review/build.sh
//	RECORD=record.txt target/review-standin unframed
//
// The cases are unframed, twice, joined and revoked. RECORD is the path of the record.
// With KEEP=1 the settings and logs of the daemons are kept.
package main
