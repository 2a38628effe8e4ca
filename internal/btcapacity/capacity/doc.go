// Command capacity measures the control plane's cost; see scripts/capacity.
//
// # Usage
//
//	capacity run [--only NAME] [--repeats N] [--seconds S] DIR
//	capacity report DIR
//
// The commands "backend" and "fleet" are the processes that "run" starts.
package main
