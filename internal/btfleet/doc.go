// Package btfleet starts a deployment as separate processes on loopback
// addresses: the simulated platform, engines and plain services, and the
// daemons. It is a harness for tests and demonstrations; no process of the
// system starts another one.
//
// # Addresses
//
// Each fleet takes a random block 127.x.y.0/24 of its own and holds a listener
// in it, so that two fleets at the same time do not collide. Each process
// stands for a host and has an address of its own in the block, which it keeps
// over restarts.
//
// # End
//
// Stop ends all processes. The kernel kills them when the process that started
// them ends in any other way.
//
// # Usage
//
//	bin, err := btfleet.Build(ctx, dir)
//	fleet, err := btfleet.Start(ctx, btfleet.Config{Bin: bin, Dir: dir, Timer: timers})
//	defer fleet.Stop()
//	err = fleet.Configure(ctx)
package btfleet
