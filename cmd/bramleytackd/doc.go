// Command bramleytackd runs one daemon of the system.
//
// # Usage
//
//	bramleytackd --config FILE [flags]
//	bramleytackd check --config FILE [flags]
//
// "check" reads the settings, reports all findings and starts nothing. The exit
// status is 0 on success, 1 on a failure at run time and 2 on bad settings or
// usage.
package main
