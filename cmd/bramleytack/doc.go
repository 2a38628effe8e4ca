// Command bramleytack is the command line for operators and callers.
//
// # Usage
//
//	bramleytack COMMAND [flags] [arguments]
//
// The commands for operators are apply, get, diff, delete, drain, return, status
// and dump, and fleet and rollouts for daemons of bramleytack-fleet; those for callers
// generate and call. validate and hash-key need no
// daemon. "bramleytack COMMAND -h" lists the flags of a command.
//
// Connection options come from flags, then from environment variables with the
// prefix BRAMLEYTACK_, then from the YAML file that --config names:
//
//	admin: [127.0.0.1:8081]
//	entries: [127.0.0.1:8080]
//	operatorKey: "..."
//	apiKey: "..."
//
// # Exit statuses
//
//	0  success
//	1  failure, also a service's answer with an error status
//	2  bad usage, or findings in files or records
//	3  conflict with another change
//	4  change is stored, but some daemons are behind
//	5  change, call or generation surely has not run
//	6  outcome of the change, call or generation is unknown
package main
