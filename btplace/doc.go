// Package btplace decides which model, version, adapter and role each engine of a
// cell has, and sends the commands that bring the engines to that state.
//
// # Policy
//
// Plan is a pure function from the records, the load reports, the demand and
// the previous desired state to the next one. An engine holds one model. The
// engines that commitments need are assigned first, then the replicas that the
// models' records ask for, then the engines that the demand needs. Engines
// without a model are assigned first, then engines of models that have more than
// they need. An engine keeps its model until another model needs it, so that a
// change of the demand reassigns few engines. Engines are chosen so that those of
// a model are spread over failure domains.
//
// An engine that has to unload a model gets the role RoleDraining. Owners give
// no grants for such an engine. It unloads the model when its generations have
// ended, so that each generation ends on the version it began with. A change of
// version drains a few engines at a time and keeps a share of a model's engines
// in service. When a model has too few engines for that, one engine loads the
// new version beside the old one, which it unloads when it is idle.
//
// # Commands
//
// Each daemon runs a Controller, which acts only while the daemon holds the
// lease of its cell. Commands are level-triggered: the desired state is written
// to the store first, with the fencing token, and a command follows from the
// difference between the desired state and the engine's last report. A command
// whose effect is unknown is not repeated blindly. The engine is read again, and
// the command is sent again if the difference is still there.
//
// A command is sent only if the lease lasts for the command's timeout plus a
// margin, and if a read shows that the store is up and the desired state is the
// one that this holder wrote. The client writes no command after its timeout. A
// command that was written takes effect within another timeout at the latest,
// since the engine closes calls that are older. A new holder therefore waits for
// two timeouts and the margin before it sends the first command to an engine that
// ignores fencing tokens, and reads the engine's state after the wait. It does
// the same with an engine that has not seen a fencing token since its start.
//
// # Weight store
//
// Engines load models from the weight store, which all cells share. Each cell has
// a token bucket with its share of the common rate, see Budget. A new holder
// starts with an empty bucket, since it does not know what the previous one used.
// The engines of a returning failure domain load first, then those of models with
// larger commitments.
//
// # Usage
//
//	c := &btplace.Controller{
//		Cell: "qld-1", Lease: lease, Store: store, Timer: timers, Snapshots: config, Upstreams: pool,
//	}
//	go c.Run(ctx)
package btplace
