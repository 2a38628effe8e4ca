package bttoken

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

var sample = bramleytack.GenerationRef{
	Upstream: "engine-1", Instance: "i1", Stream: "s1", Attempt: 2,
	Workspace: "a", Model: "crease-lm", Version: "7", Request: "r1",
}

type env struct {
	store *btmemstore.Store
	timer *bttimer.Service
}

func (e env) keyring(t *testing.T) *Keyring {
	k := &Keyring{Store: e.store, Timer: e.timer}
	assert.NilError(t, k.Load(t.Context()))
	return k
}

func run(t *testing.T, name string, f func(t *testing.T, e env)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := env{store: btmemstore.New(), timer: bttimer.New(1)}
			defer e.timer.Close()
			f(t, e)
		})
	})
}

func seal(t *testing.T, k *Keyring) string {
	t.Helper()
	token, err := k.Seal(sample)
	assert.NilError(t, err)
	return token
}

func assertOpens(t *testing.T, k *Keyring, token string) {
	t.Helper()
	g, err := k.Open(t.Context(), token, sample.Workspace)
	assert.NilError(t, err)
	g.Expires = time.Time{}
	assert.Equal(t, g, sample)
}

func assertUnknown(t *testing.T, k *Keyring, token string, w bramleytack.WorkspaceID) {
	t.Helper()
	_, err := k.Open(t.Context(), token, w)
	assert.Assert(t, err == error(ErrUnknown), "got %v", err)
}

// Guards against opening tokens that are forged, expired, too long or of another
// workspace, and against errors that differ by the reason.
func TestOpen(t *testing.T) {
	run(t, "at another entry daemon", func(t *testing.T, e env) {
		assertOpens(t, e.keyring(t), seal(t, e.keyring(t)))
	})
	run(t, "refused", func(t *testing.T, e env) {
		k := e.keyring(t)
		token := seal(t, k)
		assertUnknown(t, k, token, "b")
		assertUnknown(t, k, "", "a")
		reads := e.store.Counts().Reads
		assertUnknown(t, k, strings.Repeat("_", MaxTokenBytes+4), "a")
		assert.Equal(t, e.store.Counts().Reads, reads, "an oversized token was decoded")
		for i := range len(token) {
			changed := []byte(token)
			changed[i] = 'A' + (changed[i]+1)%26
			if string(changed) != token {
				assertUnknown(t, k, string(changed), "a")
			}
		}
		time.Sleep(DefaultLifetime)
		assertUnknown(t, k, token, "a")
	})
	run(t, "the content is encrypted", func(t *testing.T, e env) {
		b, err := encoding.DecodeString(seal(t, e.keyring(t)))
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(b), "engine-1"))
	})
}

// Guards against rotations after which valid tokens cannot be opened, and
// against daemons that keep different keys.
func TestRotate(t *testing.T) {
	run(t, "valid tokens can be opened after a rotation", func(t *testing.T, e env) {
		a, b := e.keyring(t), e.keyring(t)
		for range 6 {
			token := seal(t, a)
			if err := a.Rotate(t.Context()); err != nil {
				assert.ErrorIs(t, err, ErrTooEarly)
			}
			assertOpens(t, b, token)
			time.Sleep(DefaultActivationDelay)
			late := seal(t, b)
			time.Sleep(DefaultLifetime/2 + time.Second)
			assertOpens(t, b, token)
			assertOpens(t, a, late)
		}
		assert.Assert(t, a.current.Load().newest().ID >= 2)
	})
	run(t, "tokens of a dropped key are unknown", func(t *testing.T, e env) {
		k := e.keyring(t)
		token := seal(t, k)
		assert.NilError(t, k.Rotate(t.Context()))
		assert.ErrorIs(t, k.Rotate(t.Context()), ErrTooEarly)
		time.Sleep(DefaultLifetime + 2*DefaultActivationDelay)
		assert.NilError(t, k.Rotate(t.Context()))
		assertUnknown(t, k, token, "a")
		assert.Equal(t, len(k.current.Load().Keys), maxKeys)
	})
	run(t, "unknown key ids cause at most one read per interval", func(t *testing.T, e env) {
		a, b := e.keyring(t), e.keyring(t)
		assert.NilError(t, a.Rotate(t.Context()))
		time.Sleep(DefaultActivationDelay)
		token := seal(t, a)
		reads := e.store.Counts().Reads
		assertOpens(t, b, token)
		for range 10 {
			assertUnknown(t, b, "_"+token[1:], "a")
		}
		assert.Equal(t, e.store.Counts().Reads, reads+1)
	})
	for name, f := range map[string]btmemstore.Fault{
		"lost reply":    {LoseReplies: 1},
		"dropped write": {DropWrites: 1},
		"store down":    {Down: true},
	} {
		run(t, name, func(t *testing.T, e env) {
			a, b := e.keyring(t), e.keyring(t)
			e.store.SetFault(f)
			err := a.Rotate(t.Context())
			assert.Equal(t, err == nil, f.LoseReplies > 0, "%v", err)
			e.store.SetFault(btmemstore.Fault{})
			time.Sleep(DefaultActivationDelay)
			assertOpens(t, b, seal(t, a))
			assertOpens(t, a, seal(t, b))
		})
	}
	run(t, "an older object is ignored", func(t *testing.T, e env) {
		k := e.keyring(t)
		old, err := e.store.Get(t.Context(), ObjectKey)
		assert.NilError(t, err)
		assert.NilError(t, k.Rotate(t.Context()))
		assert.NilError(t, k.Apply(old))
		assert.Equal(t, len(k.current.Load().Keys), 2)
	})
}

// Guards against panics on malformed tokens and against opening tokens that no
// daemon sealed.
func FuzzOpen(f *testing.F) {
	timer := bttimer.New(1)
	f.Cleanup(timer.Close)
	k := &Keyring{Store: btmemstore.New(), Timer: timer}
	assert.NilError(f, k.Load(f.Context()))
	token, err := k.Seal(sample)
	assert.NilError(f, err)
	f.Add(token)
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		if _, err := k.Open(t.Context(), s, sample.Workspace); err == nil && s != token {
			t.Fatalf("opened %q", s)
		}
	})
}

// Guards against panics in the decoders of generations and of stored keys.
func FuzzDecode(f *testing.F) {
	f.Add(encode(&sample))
	f.Add([]byte(`{"keys":[{"id":1,"secret":"AAAA"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if g, err := decodeGeneration(b); err == nil {
			again, err := decodeGeneration(encode(&g))
			assert.NilError(t, err)
			assert.Equal(t, again, g)
		}
		if s, err := decodeKeySet(b); err == nil {
			s.signingKey(time.Now()).aead(nil)
		}
	})
}
