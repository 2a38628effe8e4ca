package bramleytack

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Revision orders the changes in the platform's store. It never decreases. Its upper bits are an
// epoch, which rises when the store comes back from an older copy and counts on from there, the
// lower ones the store's own number.
type Revision uint64

const (
	// numberBits is the size of a revision's number. At 3,200 changes a second it suffices for
	// ten years.
	numberBits = 40
	// maxEpoch and maxNumber are the largest parts of a revision.
	maxEpoch  = 1<<(64-numberBits) - 1
	maxNumber = 1<<numberBits - 1
)

// ErrRevisionRange means that a store counts higher than a Revision can.
var ErrRevisionRange = errors.New("bramleytack: revision is out of range")

// NewRevision returns the revision with a number of an epoch. A store without epochs has epoch 0.
func NewRevision(epoch, number uint64) (Revision, error) {
	if epoch > maxEpoch || number > maxNumber {
		return 0, errors.Wrapf(ErrRevisionRange, "epoch %d, number %d", epoch, number)
	}
	return Revision(epoch<<numberBits | number), nil
}

// Epoch returns the number of times that the store has come back from an older copy, from an
// arbitrary start.
func (r Revision) Epoch() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own number of the change. It is unique within an epoch.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns the number, after the epoch and a colon unless that is 0.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Epoch() == 0 {
		return number
	}
	return strconv.FormatUint(r.Epoch(), 10) + ":" + number
}
