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

// Defaults of a Keyring and limits.
const (
	// DefaultLifetime exceeds the time for a generation of 60,000 tokens at 70 ms
	// for each token.
	DefaultLifetime = 2 * time.Hour
	// DefaultActivationDelay exceeds the time in which a configuration change
	// reaches every daemon.
	DefaultActivationDelay = 10 * time.Second
	// DefaultRotationPeriod is the period of Run.
	DefaultRotationPeriod = 24 * time.Hour
	// RefreshInterval is the least time between store reads that unknown key ids
	// cause.
	RefreshInterval = time.Second
	// MaxTokenBytes is the length of the longest token, as text. A longer one is
	// not decoded.
	MaxTokenBytes = 2048
)

// ObjectKey names the object with the signing keys.
var ObjectKey = bramleytack.Key{Kind: "signingKey", Name: "generation"}

// Errors of a Keyring.
var (
	// ErrUnknown is the error of each token that cannot be opened, whatever the
	// reason, so that it reveals nothing about tokens of other workspaces.
	ErrUnknown = bramleytack.NewError(bramleytack.CodeNotFound, bramleytack.NotRun, "generation is unknown")
	// ErrTooEarly is the error of a rotation that would drop a key whose tokens
	// may still be valid.
	ErrTooEarly = errors.New("bttoken: tokens of the oldest key may still be valid")
	// ErrNoKeys means that Load has not succeeded yet.
	ErrNoKeys = errors.New("bttoken: no signing keys are loaded")
	// ErrTooLong means that the token would exceed MaxTokenBytes.
	ErrTooLong = errors.New("bttoken: token would be too long")
)

const (
	saltBytes   = 16
	nonceBytes  = 12
	headerBytes = 1 + saltBytes + nonceBytes
)

var encoding = base64.RawURLEncoding.Strict()

// Keyring seals and opens tokens with the keys in the store. Set Store and
// Timer before use; zero durations select the defaults. Its methods may be
// called concurrently.
type Keyring struct {
	Store           bramleytack.Store
	Timer           bramleytack.Timer
	Lifetime        time.Duration
	ActivationDelay time.Duration
	RotationPeriod  time.Duration

	current atomic.Pointer[loadedKeys]
	// mu protects lastRefresh and serializes the refreshes that unknown key ids
	// cause.
	mu          sync.Mutex
	lastRefresh time.Time
}

// loadedKeys is one version of the stored keys. It is not changed.
type loadedKeys struct {
	keySet
	version bramleytack.Revision
}

// Load reads the keys from the store and creates the first one if there is none.
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
	cur, now, activationDelay := k.current.Load(), k.Timer.Now(), orDefault(k.ActivationDelay, DefaultActivationDelay)
	// The oldest key sealed its last token at the SignsFrom of the newest, by the
	// clock of a host that may be slow by up to the activation delay.
	if len(cur.Keys) == maxKeys && now.Before(cur.newest().SignsFrom.Add(k.lifetime()+activationDelay)) {
		return ErrTooEarly
	}
	return k.write(ctx, cur.rotated(now.Add(activationDelay)), cur.version)
}

// Apply loads the keys from an object of the store. A version that is not newer
// than the loaded one is ignored.
func (k *Keyring) Apply(o bramleytack.Object) error {
	set, err := decodeKeySet(o.Data)
	if err != nil {
		return err
	}
	next := &loadedKeys{keySet: set, version: o.Version}
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

// Run rotates the keys once per RotationPeriod until ctx ends. All daemons may
// run it: the daemon that rotates second only reloads the keys.
func (k *Keyring) Run(ctx context.Context) {
	period := orDefault(k.RotationPeriod, DefaultRotationPeriod)
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

// rotateIfDue rotates the keys if the newest one is a period old. After an error
// the next check tries again.
func (k *Keyring) rotateIfDue(ctx context.Context, period time.Duration) {
	if err := k.Load(ctx); err != nil {
		return
	}
	if k.Timer.Now().Before(k.current.Load().newest().SignsFrom.Add(period)) {
		return
	}
	_ = k.Rotate(ctx)
}

// Seal returns a token. It is valid until g.Expires, but for Lifetime at most,
// and for Lifetime if g.Expires is zero.
func (k *Keyring) Seal(g bramleytack.GenerationRef) (string, error) {
	cur := k.current.Load()
	if cur == nil {
		return "", ErrNoKeys
	}
	now := k.Timer.Now()
	if latest := now.Add(k.lifetime()); g.Expires.IsZero() || g.Expires.After(latest) {
		g.Expires = latest
	}
	sealingKey := cur.signingKey(now)
	b := make([]byte, headerBytes, MaxTokenBytes)
	b[0] = sealingKey.ID
	rand.Read(b[1:])
	salt, nonce := b[1:1+saltBytes], b[1+saltBytes:headerBytes]
	b = sealingKey.aead(salt).Seal(b, nonce, encode(&g), associatedData(sealingKey.ID, g.Workspace))
	if encoding.EncodedLen(len(b)) > MaxTokenBytes {
		return "", ErrTooLong
	}
	return encoding.EncodeToString(b), nil
}

// Open returns the generation that a token of the workspace names. It returns
// ErrUnknown for every other token.
func (k *Keyring) Open(ctx context.Context, token string, workspace bramleytack.WorkspaceID) (bramleytack.GenerationRef, error) {
	if len(token) > MaxTokenBytes {
		return bramleytack.GenerationRef{}, ErrUnknown
	}
	b, err := encoding.DecodeString(token)
	if err != nil || len(b) < headerBytes {
		return bramleytack.GenerationRef{}, ErrUnknown
	}
	openingKey, ok := k.find(ctx, b[0])
	if !ok {
		return bramleytack.GenerationRef{}, ErrUnknown
	}
	salt, nonce := b[1:1+saltBytes], b[1+saltBytes:headerBytes]
	plain, err := openingKey.aead(salt).Open(nil, nonce, b[headerBytes:], associatedData(openingKey.ID, workspace))
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

// associatedData returns the data that a token is authenticated with and does
// not contain.
func associatedData(id uint8, workspace bramleytack.WorkspaceID) []byte {
	return append([]byte{id}, workspace...)
}

// find returns a key by its id. The key of an unknown id may have been added to
// the store after the last read, so the store is read again.
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

// refresh reads the keys unless it did so within the last RefreshInterval.
func (k *Keyring) refresh(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Timer.Now()
	if !k.lastRefresh.IsZero() && now.Sub(k.lastRefresh) < RefreshInterval {
		return
	}
	k.lastRefresh = now
	_ = k.read(ctx)
}

func (k *Keyring) read(ctx context.Context) error {
	o, err := k.Store.Get(ctx, ObjectKey)
	if err != nil {
		return errors.Wrap(err, "bttoken: reading signing keys")
	}
	return k.Apply(o)
}

// write stores a key set and loads the keys that the store has afterwards. After
// a conflict these are the keys of another daemon, which are as good.
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

// readBack loads the keys after a write with an unknown effect. It returns an
// error if the object is still at the expected version.
func (k *Keyring) readBack(ctx context.Context, expected bramleytack.Revision) error {
	if err := k.read(ctx); err != nil {
		return err
	}
	if k.current.Load().version <= expected {
		return errors.Wrap(bramleytack.ErrStoreUnknown, "bttoken: writing signing keys")
	}
	return nil
}

func (k *Keyring) lifetime() time.Duration { return orDefault(k.Lifetime, DefaultLifetime) }

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
