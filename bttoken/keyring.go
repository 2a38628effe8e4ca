package bttoken

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Defaults and limits.
const (
	// DefaultLifetime is longer than a generation of 60,000 tokens at 70 ms.
	DefaultLifetime = 2 * time.Hour
	// DefaultActivation is longer than a configuration change needs to reach
	// every daemon.
	DefaultActivation = 10 * time.Second
	// DefaultRotation is the period of Run.
	DefaultRotation = 24 * time.Hour
	// RefreshInterval bounds the store reads that unknown key ids cause.
	RefreshInterval = time.Second
	// MaxTokenBytes bounds a token before it is decoded.
	MaxTokenBytes = 2048
)

// ObjectKey names the object with the signing keys.
var ObjectKey = bramleytack.Key{Kind: "signingKey", Name: "generation"}

// Errors of a Keyring.
var (
	// ErrUnknown answers each token that does not open, whatever the reason,
	// so that callers learn nothing about tokens of other workspaces.
	ErrUnknown = bramleytack.NewError(bramleytack.CodeNotFound, bramleytack.NotRun, "generation is unknown")
	// ErrTooEarly refuses a rotation that would make valid tokens unknown.
	ErrTooEarly = errors.New("bttoken: tokens of the oldest key may still be valid")
	// ErrNoKeys means that Load has not succeeded yet.
	ErrNoKeys = errors.New("bttoken: no signing keys are loaded")
	// ErrTooLong means that a generation's names do not fit into a token.
	ErrTooLong = errors.New("bttoken: token would be too long")
)

const (
	saltBytes   = 16
	nonceBytes  = 12
	headerBytes = 1 + saltBytes + nonceBytes
)

var encoding = base64.RawURLEncoding.Strict()

// Keyring seals and opens tokens with the keys in the store. Set Store and
// Timer before use; zero durations select the defaults.
type Keyring struct {
	Store      bramleytack.Store
	Timer      bramleytack.Timer
	Lifetime   time.Duration
	Activation time.Duration
	Rotation   time.Duration

	current atomic.Pointer[loaded]
	// mu is held during a refresh that an unknown key id caused.
	mu        sync.Mutex
	refreshed time.Time
}

// loaded is one version of the stored keys.
type loaded struct {
	keySet
	version bramleytack.Revision
}

// Load reads the keys and creates the first one if there is none.
func (k *Keyring) Load(ctx context.Context) error {
	err := k.read(ctx)
	if errors.Is(err, bramleytack.ErrNotFound) {
		return k.write(ctx, keySet{}.rotated(k.Timer.Now()), 0)
	}
	return err
}

// Rotate adds a key and drops the oldest of two. It returns ErrTooEarly while
// tokens of the key to be dropped may be valid.
func (k *Keyring) Rotate(ctx context.Context) error {
	if err := k.Load(ctx); err != nil {
		return err
	}
	cur, now, activation := k.current.Load(), k.Timer.Now(), or(k.Activation, DefaultActivation)
	// The oldest key sealed its last token when the newest began to sign, on a
	// host whose clock is slow by up to the activation time.
	if len(cur.Keys) == maxKeys && now.Before(cur.newest().SignsFrom.Add(k.lifetime()+activation)) {
		return ErrTooEarly
	}
	return k.write(ctx, cur.rotated(now.Add(activation)), cur.version)
}

// Apply takes over an object that a watch or a peer delivered. Versions that
// are not newer are ignored.
func (k *Keyring) Apply(o bramleytack.Object) error {
	set, err := decodeKeySet(o.Data)
	if err != nil {
		return err
	}
	next := &loaded{keySet: set, version: o.Version}
	for {
		cur := k.current.Load()
		if cur != nil && cur.version >= next.version {
			return nil
		}
		if k.current.CompareAndSwap(cur, next) {
			return nil
		}
	}
}

// Run rotates the keys once per Rotation until ctx ends. All daemons may run
// it: a rotation that another daemon did first only reloads the keys.
func (k *Keyring) Run(ctx context.Context) {
	period := or(k.Rotation, DefaultRotation)
	check := k.Timer.Every(period/24, period/48)
	defer check.Stop()
	for {
		select {
		case <-check.C():
			k.rotateIfDue(ctx, period)
		case <-ctx.Done():
			return
		}
	}
}

// rotateIfDue leaves a failed rotation to the next check.
func (k *Keyring) rotateIfDue(ctx context.Context, period time.Duration) {
	if err := k.Load(ctx); err != nil {
		return
	}
	if k.Timer.Now().Before(k.current.Load().newest().SignsFrom.Add(period)) {
		return
	}
	_ = k.Rotate(ctx)
}

// Seal returns a token. A zero g.Expires selects Lifetime from now, which is
// also the longest that a token can be valid.
func (k *Keyring) Seal(g bramleytack.GenerationRef) (string, error) {
	cur := k.current.Load()
	if cur == nil {
		return "", ErrNoKeys
	}
	now := k.Timer.Now()
	if latest := now.Add(k.lifetime()); g.Expires.IsZero() || g.Expires.After(latest) {
		g.Expires = latest
	}
	signing := cur.signing(now)
	b := make([]byte, headerBytes, MaxTokenBytes)
	b[0] = signing.ID
	rand.Read(b[1:])
	salt, nonce := b[1:1+saltBytes], b[1+saltBytes:headerBytes]
	b = signing.aead(salt).Seal(b, nonce, encode(&g), associated(signing.ID, g.Workspace))
	if encoding.EncodedLen(len(b)) > MaxTokenBytes {
		return "", ErrTooLong
	}
	return encoding.EncodeToString(b), nil
}

// Open returns what a token of the workspace says, or ErrUnknown.
func (k *Keyring) Open(ctx context.Context, token string, workspace bramleytack.WorkspaceID) (bramleytack.GenerationRef, error) {
	if len(token) > MaxTokenBytes {
		return bramleytack.GenerationRef{}, ErrUnknown
	}
	b, err := encoding.DecodeString(token)
	if err != nil || len(b) < headerBytes {
		return bramleytack.GenerationRef{}, ErrUnknown
	}
	signing, ok := k.find(ctx, b[0])
	if !ok {
		return bramleytack.GenerationRef{}, ErrUnknown
	}
	salt, nonce := b[1:1+saltBytes], b[1+saltBytes:headerBytes]
	plain, err := signing.aead(salt).Open(nil, nonce, b[headerBytes:], associated(signing.ID, workspace))
	if err != nil {
		return bramleytack.GenerationRef{}, ErrUnknown
	}
	g, err := decodeGeneration(plain)
	if err != nil || !k.Timer.Now().Before(g.Expires) {
		return bramleytack.GenerationRef{}, ErrUnknown
	}
	g.Workspace = workspace
	return g, nil
}

// associated returns the data that a token is bound to.
func associated(id uint8, workspace bramleytack.WorkspaceID) []byte {
	return append([]byte{id}, workspace...)
}

// find returns a key by its id. An unknown id may belong to a rotation that
// has not reached this daemon yet, so the store is read again.
func (k *Keyring) find(ctx context.Context, id uint8) (key, bool) {
	if cur := k.current.Load(); cur != nil {
		if found, ok := cur.find(id); ok {
			return found, true
		}
	}
	k.refresh(ctx)
	cur := k.current.Load()
	if cur == nil {
		return key{}, false
	}
	return cur.find(id)
}

func (k *Keyring) refresh(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Timer.Now()
	if !k.refreshed.IsZero() && now.Sub(k.refreshed) < RefreshInterval {
		return
	}
	k.refreshed = now
	_ = k.read(ctx)
}

func (k *Keyring) read(ctx context.Context) error {
	o, err := k.Store.Get(ctx, ObjectKey)
	if err != nil {
		return errors.Wrap(err, "bttoken: reading signing keys")
	}
	return k.Apply(o)
}

// write stores a key set and loads what the store holds afterwards. Whether
// this write or that of another daemon took effect makes no difference: both
// leave a valid new key.
func (k *Keyring) write(ctx context.Context, set keySet, expected bramleytack.Revision) error {
	data, err := json.Marshal(set)
	if err != nil {
		return errors.Wrap(err, "bttoken: encoding signing keys")
	}
	o := bramleytack.Object{Key: ObjectKey, ChangeID: rand.Text(), Data: data}
	o.Version, err = k.Store.Put(ctx, o, expected)
	switch {
	case err == nil:
		return k.Apply(o)
	case errors.Is(err, bramleytack.ErrConflict):
		return k.read(ctx)
	case errors.Is(err, bramleytack.ErrStoreUnknown):
		return k.readBack(ctx, expected)
	}
	return errors.Wrap(err, "bttoken: writing signing keys")
}

// readBack loads the keys after a write whose reply was lost. The write failed
// if the object is still at the expected version.
func (k *Keyring) readBack(ctx context.Context, expected bramleytack.Revision) error {
	if err := k.read(ctx); err != nil {
		return err
	}
	if k.current.Load().version <= expected {
		return errors.Wrap(bramleytack.ErrStoreUnknown, "bttoken: writing signing keys")
	}
	return nil
}

func (k *Keyring) lifetime() time.Duration { return or(k.Lifetime, DefaultLifetime) }

func or(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
