// Package btnode puts together one daemon of a fleet on a platform without
// hosts for control: the callers' entry, the directory, the replica of the
// store and the exchange with other daemons.
//
// A daemon serves as soon as it holds a configuration, from the store or from a
// peer. It keeps nothing beyond its process.
//
// # Usage
//
//	node, err := btnode.New(settings, btnode.Adapter{Feed: store, Codec: codec, Dialect: dialect}, os.Stdout)
//	if err != nil {
//		return err
//	}
//	return node.Run(ctx)
package btnode
