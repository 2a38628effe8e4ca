package bttoken

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	keyBytes = 32
	maxKeys  = 2
)

var errMalformedKeys = errors.New("bttoken: malformed signing keys")

// key is one signing key.
type key struct {
	// ID is unique among the keys that are valid at a time. It wraps around.
	ID     uint8  `json:"id"`
	Secret []byte `json:"secret"`
	// SignsFrom is the time from which tokens are sealed with the key.
	SignsFrom time.Time `json:"signsFrom"`
}

// keySet is the stored object. Keys holds the valid keys, oldest first.
type keySet struct {
	SchemaVersion int   `json:"schemaVersion"`
	Keys          []key `json:"keys"`
}

func decodeKeySet(data []byte) (keySet, error) {
	var s keySet
	if err := json.Unmarshal(data, &s); err != nil {
		return s, errors.Mark(err, errMalformedKeys)
	}
	if len(s.Keys) == 0 || len(s.Keys) > maxKeys {
		return s, errors.Wrapf(errMalformedKeys, "%d keys", len(s.Keys))
	}
	for _, k := range s.Keys {
		if len(k.Secret) != keyBytes {
			return s, errors.Wrapf(errMalformedKeys, "key %d has %d bytes", k.ID, len(k.Secret))
		}
	}
	if len(s.Keys) == maxKeys && s.Keys[0].ID == s.Keys[1].ID {
		return s, errors.Wrapf(errMalformedKeys, "duplicate key id %d", s.Keys[0].ID)
	}
	return s, nil
}

// signingKey returns the key to seal with: the newest one with SignsFrom up to
// now, or the oldest.
func (s keySet) signingKey(now time.Time) key {
	for i := len(s.Keys) - 1; i > 0; i-- {
		if !s.Keys[i].SignsFrom.After(now) {
			return s.Keys[i]
		}
	}
	return s.Keys[0]
}

func (s keySet) find(id uint8) (key, bool) {
	for _, k := range s.Keys {
		if k.ID == id {
			return k, true
		}
	}
	return key{}, false
}

func (s keySet) newest() key { return s.Keys[len(s.Keys)-1] }

// rotated returns the set with a new key and without the oldest keys above
// maxKeys.
func (s keySet) rotated(signsFrom time.Time) keySet {
	k := key{Secret: make([]byte, keyBytes), SignsFrom: signsFrom}
	rand.Read(k.Secret)
	if len(s.Keys) > 0 {
		k.ID = s.newest().ID + 1
	}
	next := keySet{SchemaVersion: 1, Keys: append(s.Keys[:len(s.Keys):len(s.Keys)], k)}
	if excess := len(next.Keys) - maxKeys; excess > 0 {
		next.Keys = next.Keys[excess:]
	}
	return next
}

// aead returns the cipher of the token with the given salt.
func (k key) aead(salt []byte) cipher.AEAD {
	mac := hmac.New(sha256.New, k.Secret)
	mac.Write(salt)
	block, err := aes.NewCipher(mac.Sum(nil))
	if err != nil {
		panic(err) // A SHA-256 sum always has the length of an AES-256 key.
	}
	gcm, err := cipher.NewGCM(block)
	if err != nil {
		panic(err) // AES always has the block size of GCM.
	}
	return gcm
}
