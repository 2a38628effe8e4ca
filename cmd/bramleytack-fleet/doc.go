// Command bramleytack-fleet runs one daemon on the users' platform.
//
// It reads the settings file that the platform names in its environment, logs
// JSON lines to standard output and serves until a termination signal. On a
// hang-up signal it reads the settings again.
//
// # Usage
//
//	bramleytack-fleet            runs until a termination signal
//	bramleytack-fleet check      checks the settings and exits
//
// The exit status is 0 after a clean stop, 1 after a failure and 2 if the
// settings are not valid. All findings of invalid settings are printed at once.
package main
