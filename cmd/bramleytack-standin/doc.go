// Command bramleytack-standin runs one simulated outside system: the platform,
// a model engine or a plain service.
//
// It prints one JSON line such as {"listening":"127.0.0.1:4711"} on standard
// output when it is ready, logs to standard error and stops on SIGINT and
// SIGTERM. A simulated system that crashes exits with status 3.
//
// # Usage
//
//	bramleytack-standin platform --listen 127.0.0.1:0
//	bramleytack-standin engine --listen 127.0.0.1:0 --model crease-lm@1 --cold-limit 2
//	bramleytack-standin service --listen 127.0.0.1:0 --instance orders --work 5ms
//
// Faults are set while it runs:
//
//	PUT /debug/fault {"path":"/v1/generations","cut":{"tokens":5},"requests":1}
//
// With --debug-listen, the paths under /debug/ are also served on a second
// address, which stays reachable while the first refuses connections.
package main
