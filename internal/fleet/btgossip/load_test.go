package btgossip

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bramleytack/internal/fleet/bthub"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btwaiting"
)

// Guards against calls of a workspace that other daemons do not learn of, and against messages
// of other programs that end a daemon.
func TestLoadsTellCallsByWorkspace(t *testing.T) {
	loads := bthub.Loads{"s0": btaccount.Load{Running: 2, Waiting: 3, Calls: &btwaiting.Demand{{Workspace: 7, Calls: 4}, {Workspace: 9, Calls: 1}}}, "s1": {Running: 1}}
	data, err := proto.Marshal(&Digest{Loads: encodeLoads(loads)})
	assert.NilError(t, err)
	var d Digest
	assert.NilError(t, proto.Unmarshal(data, &d))
	assert.DeepEqual(t, decodeLoads(d.Loads, true), loads)
	odd := decodeLoads([]*UpstreamLoad{{Upstream: "s0", Waiting: 3, Workspaces: []uint32{9, 7, 9}, WorkspaceCalls: []uint32{1, 2}}}, true)
	assert.DeepEqual(t, odd["s0"].Calls, &btwaiting.Demand{{Workspace: 7, Calls: 2}, {Workspace: 9, Calls: 1}})
}
