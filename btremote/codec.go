package btremote

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"bramleytack"
	"bramleytack/btwire"
)

// The clocks of two hosts are not compared. Messages carry times as durations
// relative to now.

func encodeReservation(r bramleytack.Reservation, view uint64, now time.Time) *btwire.Reserve {
	return &btwire.Reserve{
		Grant: string(r.Grant), Upstream: string(r.Upstream), Entry: string(r.Entry), Request: string(r.Request),
		Workspace: string(r.Workspace), Model: r.Model, Priority: r.Priority.String(),
		PromptTokens: int64(r.PromptTokens), MaxTokens: int64(r.MaxTokens),
		Deadline: durationpb.New(r.Deadline.Sub(now)), Suspect: r.Suspect, ViewNumber: view,
	}
}

func decodeReservation(m *btwire.Reserve, now time.Time) bramleytack.Reservation {
	priority, _ := bramleytack.ParsePriority(m.GetPriority())
	return bramleytack.Reservation{
		Grant: bramleytack.GrantID(m.GetGrant()), Upstream: bramleytack.UpstreamID(m.GetUpstream()),
		Entry: bramleytack.HostID(m.GetEntry()), Request: bramleytack.RequestID(m.GetRequest()),
		Workspace: bramleytack.WorkspaceID(m.GetWorkspace()), Model: m.GetModel(), Priority: priority,
		PromptTokens: int(m.GetPromptTokens()), MaxTokens: int(m.GetMaxTokens()),
		Deadline: now.Add(m.GetDeadline().AsDuration()), Suspect: m.GetSuspect(),
	}
}

func encodeDigest(d bramleytack.UpstreamDigest, now time.Time) *btwire.UpstreamDigest {
	m := &btwire.UpstreamDigest{
		Upstream: string(d.Upstream), Instance: string(d.Instance), Running: int64(d.Running),
		Limit: int64(d.Limit), Level: int64(d.Level), Warm: d.Warm, Leaving: d.Leaving,
		ForecastMemoryShare: d.Memory, Age: durationpb.New(now.Sub(d.At)),
	}
	for _, held := range d.Models {
		m.Models = append(m.Models, &btwire.HeldModel{Model: held.Model, Version: held.Version, Adapter: held.Adapter})
	}
	return m
}

func decodeDigest(m *btwire.UpstreamDigest, now time.Time) bramleytack.UpstreamDigest {
	d := bramleytack.UpstreamDigest{
		Upstream: bramleytack.UpstreamID(m.GetUpstream()), Instance: bramleytack.InstanceID(m.GetInstance()),
		At: now.Add(-m.GetAge().AsDuration()), Running: int(m.GetRunning()), Limit: int(m.GetLimit()), Level: int(m.GetLevel()),
		Warm: m.GetWarm(), Memory: m.GetForecastMemoryShare(), Leaving: m.GetLeaving(),
	}
	for _, held := range m.GetModels() {
		d.Models = append(d.Models, bramleytack.LoadedModel{Model: held.GetModel(), Version: held.GetVersion(), Adapter: held.GetAdapter()})
	}
	return d
}

func encodeRefusal(e *bramleytack.Error) *btwire.Refusal {
	return &btwire.Refusal{Code: string(e.Code), Message: e.Message, RetryAfter: durationpb.New(e.RetryAfter)}
}

func decodeRefusal(m *btwire.Refusal) *bramleytack.Error {
	return bramleytack.NewError(bramleytack.Code(m.GetCode()), bramleytack.NotRun, "%s", m.GetMessage()).
		WithRetryAfter(m.GetRetryAfter().AsDuration())
}

func encodeObjects(objects []bramleytack.Object) []*btwire.ConfigObject {
	list := make([]*btwire.ConfigObject, 0, len(objects))
	for _, o := range objects {
		list = append(list, &btwire.ConfigObject{
			Kind: o.Kind, Name: o.Name, Version: uint64(o.Version), ChangeId: o.ChangeID, Deleted: o.Deleted, Data: o.Data,
		})
	}
	return list
}

func decodeObjects(list []*btwire.ConfigObject) []bramleytack.Object {
	objects := make([]bramleytack.Object, 0, len(list))
	for _, m := range list {
		objects = append(objects, bramleytack.Object{
			Key:     bramleytack.Key{Kind: m.GetKind(), Name: m.GetName()},
			Version: bramleytack.Revision(m.GetVersion()), ChangeID: m.GetChangeId(), Deleted: m.GetDeleted(), Data: m.GetData(),
		})
	}
	return objects
}

func decodeFingerprint(b []byte) (bramleytack.Fingerprint, bool) {
	var fp bramleytack.Fingerprint
	return fp, copy(fp[:], b) == len(fp) && len(b) == len(fp)
}
