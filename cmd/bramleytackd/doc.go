// Command bramleytackd runs one daemon.
//
// # Usage
//
//	bramleytackd --config FILE [flags]
//	bramleytackd check --config FILE [flags]
//
// "check" validates the settings, reports every error in them and exits without
// starting the daemon. The exit status is 0 on success, 1 on a failure at run time
// and 2 on invalid settings or usage.
package main
