// Package btplace decides which engine holds which model, adapter, version and
// role, and sends the orders that bring the engines there.
//
// # Policy
//
// Plan is a pure function from the records, the load reports, the demand and
// the previous desired state to the next one. An engine holds one model. A
// model gets the engines that its commitments need, then those of its record,
// then those of its demand. Engines without a model are taken first, then
// engines that another model can spare. An engine keeps its model until another
// model needs it, so that a change of the demand moves little. The engines of a
// model are spread over failure domains when they are chosen.
//
// An engine that must give up a model gets the role RoleDraining. Owners grant
// no places on such an engine. It unloads the model when its generations have
// ended, so that each generation ends on the version it began with. A change of
// version drains a few engines at a time and keeps a share of a model's engines
// in service. When a model has too few engines for that, one engine loads the
// new version beside the old one, which it unloads when it is idle.
//
// # Orders
//
// Each daemon runs a Controller, which acts only while the daemon holds the
// lease of its cell. Orders are level-triggered. The desired state is written
// to the store first, with the fencing number, and an order follows from the
// difference between the desired state and the engine's last report. An order
// whose effect is unknown is not retried as such: the engine is read again, and
// the order is sent again if the difference is still there.
//
// An order is sent if the lease lasts for the order's timeout and a margin
// more, and if a read shows that the store is up and the desired state is the
// one that this holder wrote. The client writes no order after its timeout. An
// order that was written takes effect within another timeout at the latest, as
// the engine closes calls that are older. A new holder therefore waits for two
// timeouts and the margin before it sends the first order to an engine that
// ignores fencing numbers, and reads the engine's state after the wait. It does
// the same with an engine that has not seen a fencing number since its start.
//
// # Weight store
//
// Loads read the weight store, which all cells share. Each cell has a token
// bucket with its share of the common rate, see Budget. A new holder starts
// with an empty bucket, since it does not know what the previous one took. The
// engines of a returning failure domain load first, then those of models with
// commitments.
//
// # Usage
//
//	c := &btplace.Controller{
//		Cell: "qld-1", Lease: lease, Store: store, Timer: timers, Snapshots: config, Upstreams: pool,
//	}
//	go c.Run(ctx)
package btplace
