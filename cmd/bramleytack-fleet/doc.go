// Command bramleytack-fleet runs one daemon on the users' platform.
//
// It reads the settings file that the environment variable BRAMLEYTACK_BOOT
// names, and the bounds of pauses in BRAMLEYTACK_MAX_PAUSE and of the lines of heads
// in BRAMLEYTACK_MAX_HEADER_LINES if they are set, logs JSON
// lines to standard output and serves until it receives SIGTERM or SIGINT. On
// SIGHUP it reads the settings again.
//
// # Usage
//
//	bramleytack-fleet            runs until SIGTERM or SIGINT
//	bramleytack-fleet check      checks the settings and exits
//
// The exit status is 0 after a clean stop, 1 after a failure and 2 if the
// settings are not valid. All findings of invalid settings are printed at once.
package main
