// Package btnode assembles one daemon of a fleet on a platform without separate
// control hosts: the entry for callers, the directory, the replica of the store and
// the gossip with other daemons.
//
// A daemon serves as soon as it has a configuration, from the store or from a peer.
// It keeps no state on disk.
//
// # Usage
//
//	node, err := btnode.New(settings, btnode.Adapter{Feed: store, Codec: codec, Dialect: dialect}, os.Stdout)
//	if err != nil {
//		return err
//	}
//	return node.Run(ctx)
package btnode
